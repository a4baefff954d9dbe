package org.lentilsail.entry;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.dispatch.SlotSource;
import org.lentilsail.http.HttpCaller;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.policy.retry.Backoff;
import org.lentilsail.policy.retry.RetryBudget;

/** Runs requests on workers, with the retries that section 8 of the design allows. */
public final class RequestExecutor implements RequestRunner {
  /** Waits between attempts; short, because another worker is tried. */
  private static final Backoff BACKOFF = new Backoff(Duration.ofMillis(10), Duration.ofMillis(200));

  /** Hands out slots. */
  private final SlotSource slots;

  /** Sends requests to workers. */
  private final HttpCaller httpClient;

  /** Present configuration. */
  private final ConfigurationView configuration;

  /** Counts requests by VM. */
  private final InFlightTable inFlight;

  /** Counts requests for operators. */
  private final EntryMetrics metrics;

  /** Timers. */
  private final DelayScheduler scheduler;

  /** Clocks. */
  private final TimeSource time;

  /** Retry budgets by service. */
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  /**
   * Creates an executor.
   *
   * @param slots hands out slots
   * @param caller sends requests to workers
   * @param configuration present configuration
   * @param inFlight counts requests by VM
   * @param metrics counts requests for operators
   * @param delays timers
   * @param time clocks
   */
  public RequestExecutor(
      final SlotSource slots,
      final HttpCaller caller,
      final ConfigurationView configuration,
      final InFlightTable inFlight,
      final EntryMetrics metrics,
      final DelayScheduler delays,
      final TimeSource time) {
    this.slots = slots;
    this.httpClient = caller;
    this.configuration = configuration;
    this.inFlight = inFlight;
    this.metrics = metrics;
    this.scheduler = delays;
    this.time = time;
  }

  @Override
  public CompletableFuture<EntryResponse> run(final EntryRequest request) {
    final RequestExecution execution = new RequestExecution(this, request);
    execution.start();
    return execution.result();
  }

  SlotSource slots() {
    return slots;
  }

  HttpCaller httpClient() {
    return httpClient;
  }

  ConfigurationView configuration() {
    return configuration;
  }

  InFlightTable inFlight() {
    return inFlight;
  }

  EntryMetrics metrics() {
    return metrics;
  }

  DelayScheduler scheduler() {
    return scheduler;
  }

  TimeSource time() {
    return time;
  }

  Backoff backoff() {
    return BACKOFF;
  }

  RetryBudget retryBudget(final String service) {
    return budgets.computeIfAbsent(service, name -> new RetryBudget());
  }
}
