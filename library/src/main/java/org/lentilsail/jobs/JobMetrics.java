package org.lentilsail.jobs;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counters and latency histograms of job control and of the API for callers. Thread-safe. */
public final class JobMetrics {
  /** Upper bounds in seconds, for store calls of 4 ms and tasks of about one second. */
  private static final double[] BUCKETS = {
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20
  };

  private static final double NANOS_PER_SECOND = 1e9;

  private final Counter requests;
  private final Histogram requestLatency;
  private final Counter taskStarts;
  private final Histogram taskWait;
  private final Counter endedJobs;
  private final Histogram jobAge;
  private final Counter machineCommands;
  private final Gauge longestIdleJob;
  private final Counter storeReturns;

  /**
   * Creates and registers the metrics.
   *
   * @param registry registry through which they are published
   */
  public JobMetrics(final PrometheusRegistry registry) {
    requests = counter(registry, "requests", "Requests of callers", "method", "status");
    requestLatency =
        histogram(registry, "request_seconds", "Time from a complete request to its answer");
    taskStarts =
        counter(registry, "task_starts", "Starts of tasks by answer of the worker", "answer");
    taskWait = histogram(registry, "task_wait_seconds", "Time that a task waited for a worker");
    endedJobs = counter(registry, "jobs_ended", "Jobs that reached a final state", "state");
    jobAge = histogram(registry, "job_seconds", "Time from the acceptance of a job to its end");
    machineCommands =
        counter(registry, "machine_orders", "Orders about machines by answer", "kind", "answer");
    storeReturns =
        counter(registry, "store_returns", "Outages of the store that have ended for this daemon");
    longestIdleJob =
        Gauge.builder()
            .name("lentilsail_longest_idle_job_seconds")
            .help("Longest time for which a job with a ready task has had no run")
            .register(registry);
  }

  /**
   * Records a request of a caller.
   *
   * @param method request method
   * @param status status code of the response
   * @param nanos time in ns from the complete request to the response
   */
  public void recordRequest(final String method, final int status, final long nanos) {
    requests.labelValues(method, Integer.toString(status)).inc();
    requestLatency.observe(nanos / NANOS_PER_SECOND);
  }

  void recordTaskStart(final String answer, final long waitedNanos) {
    taskStarts.labelValues(answer).inc();
    taskWait.observe(waitedNanos / NANOS_PER_SECOND);
  }

  void recordJobEnd(final String state, final long ageNanos) {
    endedJobs.labelValues(state).inc();
    jobAge.observe(ageNanos / NANOS_PER_SECOND);
  }

  void recordMachineCommand(final String kind, final String answer) {
    machineCommands.labelValues(kind, answer).inc();
  }

  void recordStoreReturn() {
    storeReturns.inc();
  }

  void recordLongestIdleJob(final long idleNanos) {
    longestIdleJob.set(idleNanos / NANOS_PER_SECOND);
  }

  private static Counter counter(
      final PrometheusRegistry registry,
      final String name,
      final String help,
      final String... labels) {
    return Counter.builder()
        .name("lentilsail_" + name + "_total")
        .help(help)
        .labelNames(labels)
        .register(registry);
  }

  private static Histogram histogram(
      final PrometheusRegistry registry, final String name, final String help) {
    return Histogram.builder()
        .name("lentilsail_" + name)
        .help(help)
        .classicOnly()
        .classicUpperBounds(BUCKETS)
        .register(registry);
  }
}
