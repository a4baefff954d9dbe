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

/**
 * Runs requests on workers and retries them when {@link OutcomeRule} and the retry budget allow it.
 */
public final class RequestExecutor implements RequestRunner {
  /** Delays between attempts; short, because another worker is tried. */
  private static final Backoff BACKOFF = new Backoff(Duration.ofMillis(10), Duration.ofMillis(200));

  /** Grants slots. */
  private final SlotSource slots;

  /** HTTP client for requests to workers. */
  private final HttpCaller httpClient;

  private final ConfigurationView configuration;

  /** Requests in flight by VM. */
  private final InFlightTable inFlight;

  /** Metrics of the requests. */
  private final EntryMetrics metrics;

  /** Schedules the delays between attempts and the deadlines. */
  private final DelayScheduler scheduler;

  /** Source of monotonic time. */
  private final TimeSource time;

  /** Retry budgets by service. */
  private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();

  /**
   * Creates an executor.
   *
   * @param slots grants slots
   * @param httpClient HTTP client for requests to workers
   * @param configuration current configuration
   * @param inFlight requests in flight by VM
   * @param metrics metrics of the requests
   * @param scheduler schedules the delays between attempts and the deadlines
   * @param time source of monotonic time
   */
  public RequestExecutor(
      final SlotSource slots,
      final HttpCaller httpClient,
      final ConfigurationView configuration,
      final InFlightTable inFlight,
      final EntryMetrics metrics,
      final DelayScheduler scheduler,
      final TimeSource time) {
    this.slots = slots;
    this.httpClient = httpClient;
    this.configuration = configuration;
    this.inFlight = inFlight;
    this.metrics = metrics;
    this.scheduler = scheduler;
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
    return retryBudgets.computeIfAbsent(service, name -> new RetryBudget());
  }
}
