package org.lentilsail.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Prometheus metrics of the requests of callers. */
public final class EntryMetrics {
  /** Upper bounds in s of the latency buckets, around the latency objectives of 0.5 ms and 2 ms. */
  private static final double[] BUCKETS = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30
  };

  private static final double NANOS_PER_SECOND = 1e9;

  /** Requests by service and outcome. */
  private final Counter requests;

  /** Time from arrival to the response by service. */
  private final Histogram latency;

  /** Retries by service. */
  private final Counter retries;

  /**
   * Creates the metrics.
   *
   * @param registry where they are published
   */
  public EntryMetrics(final PrometheusRegistry registry) {
    requests =
        Counter.builder()
            .name("lentilsail_entry_requests_total")
            .help("Requests by outcome")
            .labelNames("service", "outcome")
            .register(registry);
    latency =
        Histogram.builder()
            .name("lentilsail_entry_latency_seconds")
            .help("Time from the complete request to the response")
            .labelNames("service")
            .classicOnly()
            .classicUpperBounds(BUCKETS)
            .register(registry);
    retries =
        Counter.builder()
            .name("lentilsail_entry_retries_total")
            .help("Attempts after the first one")
            .labelNames("service")
            .register(registry);
  }

  void recordRequest(final String service, final Outcome outcome, final long nanos) {
    requests.labelValues(service, outcome.text()).inc();
    latency.labelValues(service).observe(nanos / NANOS_PER_SECOND);
  }

  void recordRetry(final String service) {
    retries.labelValues(service).inc();
  }
}
