package org.lentilsail.store;

import static org.lentilsail.concurrent.Callbacks.loggedTask;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.time.TimeSource;
import org.tinylog.Logger;

/**
 * Repeats failed calls as soon as the store responds again to any call of the same daemon, instead
 * of after the delay of each call. Outcomes may be recorded on any thread; all other methods and
 * all tasks are confined to the thread of the executor.
 */
public final class StoreRetries {
  /**
   * Time in ns without a successful call after which a success counts as the return of the store. A
   * store that rejects only some calls, for example above a rate limit, does not have them repeated
   * early.
   */
  private static final long MIN_OUTAGE_NANOS = 200_000_000L;

  /**
   * Shortest delay in ms between two probes, and the bound of its random part; 40 daemons send
   * about 150 a second. A call that was sent during an outage may wait for its timeout, which is
   * above 2 s for a watch.
   */
  private static final int PROBE_DELAY_MILLIS = 200;

  private static final int PROBE_JITTER_MILLIS = 120;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ScheduledExecutorService executor;
  private final TimeSource time;
  private final Runnable probe;
  private final Runnable returned;
  private final Set<Runnable> waiting = new LinkedHashSet<>();
  private volatile boolean failing;
  private long failingSince;
  private boolean probing;

  /**
   * Creates an object that has recorded no call.
   *
   * @param executor executor with a single thread
   * @param time source of monotonic time
   * @param probe sends a cheap call; repeated during an outage
   * @param returned is run when the store has returned after an outage, before the repeated calls
   */
  public StoreRetries(
      final ScheduledExecutorService executor,
      final TimeSource time,
      final Runnable probe,
      final Runnable returned) {
    this.probe = loggedTask("probe of the store", probe);
    this.executor = executor;
    this.time = time;
    this.returned = loggedTask("return of the store", returned);
  }

  /**
   * Creates an object that is told of no call, so that all calls are repeated after their delays.
   *
   * @param executor executor with a single thread
   * @param time source of monotonic time
   */
  public StoreRetries(final ScheduledExecutorService executor, final TimeSource time) {
    this(executor, time, () -> {}, () -> {});
  }

  /**
   * Runs a task after a delay, or when the store has returned if that is earlier.
   *
   * @param task the task
   * @param delayMillis delay in ms
   */
  public void schedule(final Runnable task, final long delayMillis) {
    final Runnable pending = onReturn(task);
    executor.schedule(
        () -> {
          if (cancel(pending)) {
            pending.run();
          }
        },
        delayMillis,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task once when the store has returned after an outage.
   *
   * @param task the task
   * @return the pending task, for {@link #cancel}
   */
  public Runnable onReturn(final Runnable task) {
    final Runnable pending = loggedTask("retry of a store call", task);
    waiting.add(pending);
    return pending;
  }

  /**
   * Cancels a pending task.
   *
   * @param pending the pending task
   * @return false if it has run
   */
  public boolean cancel(final Runnable pending) {
    return waiting.remove(pending);
  }

  /** Records a call that the store has executed. */
  void recordSuccess() {
    if (failing) {
      endFailing();
    }
  }

  /** Records a call that failed or was not answered. */
  synchronized void recordFailure() {
    if (!failing) {
      failing = true;
      failingSince = time.nanos();
      if (!probing) {
        probing = true;
        scheduleProbe();
      }
    }
  }

  private void scheduleProbe() {
    final int jitterMillis = ThreadLocalRandom.current().nextInt(PROBE_JITTER_MILLIS);
    executor.schedule(this::sendProbe, PROBE_DELAY_MILLIS + jitterMillis, TimeUnit.MILLISECONDS);
  }

  private void sendProbe() {
    if (continuesProbing()) {
      probe.run();
      scheduleProbe();
    }
  }

  private synchronized boolean continuesProbing() {
    probing = failing;
    return probing;
  }

  private synchronized void endFailing() {
    final long outageNanos = time.nanos() - failingSince;
    if (failing && outageNanos >= MIN_OUTAGE_NANOS) {
      executor.execute(() -> storeReturned(outageNanos));
    }
    failing = false;
  }

  private void storeReturned(final long outageNanos) {
    Logger.info(
        "event=store-returned outageMs={} waitingCalls={}",
        outageNanos / NANOS_PER_MILLI,
        waiting.size());
    returned.run();
    final List<Runnable> due = List.copyOf(waiting);
    waiting.clear();
    due.forEach(Runnable::run);
  }
}
