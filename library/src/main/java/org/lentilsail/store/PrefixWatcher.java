package org.lentilsail.store;

import static org.lentilsail.concurrent.Callbacks.logged;
import static org.lentilsail.concurrent.Callbacks.loggedTask;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lentilsail.model.time.ClockReading;
import org.lentilsail.model.time.TimeSource;
import org.tinylog.Logger;

/**
 * Keeps a listener up to date with the items under a prefix: reads all items, then watches for
 * changes, and reads all items again if the store has compacted the history. All work runs on a
 * single executor thread.
 */
public final class PrefixWatcher implements AutoCloseable {
  /**
   * Maximum wait of one watch call; it limits the time until an unresponsive connection is
   * detected.
   */
  public static final Duration WATCH_TIMEOUT = Duration.ofMillis(1_500);

  /** Delay in ms before a failed call is retried. */
  private static final long RETRY_DELAY_MILLIS = 150;

  private final KeyValueStore store;
  private final String prefix;
  private final PrefixListener listener;
  private final ScheduledExecutorService executor;
  private final TimeSource time;
  private final long minIntervalNanos;
  private final Supplier<Duration> watchTimeout;
  private final StoreRetries retries;
  private boolean closed;
  private boolean loaded;
  private boolean failing;
  private long revision;
  private long lastCallAt;

  /** Number of the current call; the response to an earlier one is ignored. */
  private int callNumber;

  /** Repeats the current call when the store has returned. */
  private Runnable retryOnReturn = () -> {};

  /**
   * Monotonic time in ns of the last response. The initial value lies before any monotonic time and
   * does not overflow in differences.
   */
  private long lastResponseAt = Long.MIN_VALUE / 2;

  /**
   * Creates a watcher that has not started.
   *
   * @param store the store
   * @param prefix prefix of the keys
   * @param listener is notified of the items and their changes
   * @param executor executor with a single thread
   * @param time source of monotonic time
   * @param minInterval minimum time between two calls, so that one response can contain many
   *     changes
   */
  public PrefixWatcher(
      final KeyValueStore store,
      final String prefix,
      final PrefixListener listener,
      final ScheduledExecutorService executor,
      final TimeSource time,
      final Duration minInterval) {
    this(store, prefix, listener, executor, time, minInterval, new StoreRetries(executor, time));
  }

  /**
   * Creates a watcher that has not started.
   *
   * @param store the store
   * @param prefix prefix of the keys
   * @param listener is notified of the items and their changes
   * @param executor executor with a single thread
   * @param time source of monotonic time
   * @param minInterval minimum time between two calls, so that one response can contain many
   *     changes
   * @param retries repeats a call that failed or is waiting when the store has returned
   */
  public PrefixWatcher(
      final KeyValueStore store,
      final String prefix,
      final PrefixListener listener,
      final ScheduledExecutorService executor,
      final TimeSource time,
      final Duration minInterval,
      final StoreRetries retries) {
    this(store, prefix, listener, executor, time, minInterval, () -> WATCH_TIMEOUT, retries);
  }

  /**
   * Creates a watcher that has not started.
   *
   * @param store the store
   * @param prefix prefix of the keys
   * @param listener is notified of the items and their changes
   * @param executor executor with a single thread
   * @param time source of monotonic time
   * @param minInterval minimum time between two calls, so that one response can contain many
   *     changes
   * @param watchTimeout returns the wait of the watch call that is sent next
   * @param retries repeats a call that failed or is waiting when the store has returned
   */
  public PrefixWatcher(
      final KeyValueStore store,
      final String prefix,
      final PrefixListener listener,
      final ScheduledExecutorService executor,
      final TimeSource time,
      final Duration minInterval,
      final Supplier<Duration> watchTimeout,
      final StoreRetries retries) {
    this.store = store;
    this.prefix = prefix;
    this.listener = listener;
    this.executor = executor;
    this.time = time;
    this.minIntervalNanos = minInterval.toNanos();
    this.watchTimeout = watchTimeout;
    this.retries = retries;
  }

  /** Starts watching. */
  public void start() {
    executor.execute(this::readAll);
  }

  /**
   * Returns when the store last responded.
   *
   * @return monotonic time in ns, {@code Long.MIN_VALUE / 2} before the first response
   */
  public long lastResponseAt() {
    return lastResponseAt;
  }

  /** Stops watching; called on the executor's thread. */
  @Override
  public void close() {
    closed = true;
    retries.cancel(retryOnReturn);
  }

  private void readAll() {
    if (closed) {
      return;
    }
    final ClockReading sentAt = ClockReading.of(time);
    final int number = beginCall(this::readAll);
    RangeReader.readAll(store, prefix)
        .whenCompleteAsync(
            logged(
                (page, failure) -> {
                  if (!endCall(number)) {
                    return;
                  }
                  if (failure != null) {
                    retryLater("read", failure, this::readAll);
                    return;
                  }
                  recordResponse();
                  loaded = true;
                  revision = page.revision();
                  notify(() -> listener.onSnapshot(page.items()));
                  notify(listener::onBatchEnd);
                  notifyApplied(sentAt);
                  watch();
                }),
            executor);
  }

  private void watch() {
    if (closed) {
      return;
    }
    final long pause = minIntervalNanos - (time.nanos() - lastCallAt);
    if (pause > 0) {
      executor.schedule(this::watch, pause, TimeUnit.NANOSECONDS);
      return;
    }
    lastCallAt = time.nanos();
    final ClockReading sentAt = ClockReading.of(time);
    final int number = beginCall(this::watch);
    store
        .watch(prefix, revision, watchTimeout.get())
        .whenCompleteAsync(
            logged(
                (batch, failure) -> {
                  if (!endCall(number)) {
                    return;
                  }
                  if (failure != null) {
                    retryLater("watch", failure, this::watch);
                    return;
                  }
                  recordResponse();
                  applyChanges(batch, sentAt);
                }),
            executor);
  }

  /**
   * Begins a call. It is repeated when the store has returned, because a call that was sent during
   * an outage may wait for its timeout, which is above 2 s for a watch.
   */
  private int beginCall(final Runnable repeat) {
    callNumber++;
    retryOnReturn =
        retries.onReturn(
            () -> {
              callNumber++;
              repeat.run();
            });
    return callNumber;
  }

  /** Ends a call; returns false if its response must be ignored. */
  private boolean endCall(final int number) {
    if (number != callNumber) {
      return false;
    }
    retries.cancel(retryOnReturn);
    return !closed;
  }

  private void applyChanges(final WatchBatch batch, final ClockReading sentAt) {
    if (batch.historyCompacted()) {
      Logger.info("event=history-lost prefix={} revision={}", prefix, revision);
      readAll();
      return;
    }
    revision = Math.max(revision, batch.revision());
    for (final ItemChange change : batch.changes()) {
      notify(() -> listener.onChange(change));
    }
    if (!batch.changes().isEmpty()) {
      notify(listener::onBatchEnd);
    }
    notifyApplied(sentAt);
    watch();
  }

  private void notifyApplied(final ClockReading sentAt) {
    notify(() -> listener.onResponseApplied(sentAt));
    notify(() -> listener.onCaughtUp(revision));
  }

  /** Notifies the listener. If it throws, the error is logged and the watch continues. */
  private void notify(final Runnable notification) {
    loggedTask("listener of " + prefix, notification).run();
  }

  private void recordResponse() {
    lastResponseAt = time.nanos();
    if (failing) {
      failing = false;
      Logger.info("event=dependency-regained dependency=store prefix={}", prefix);
    }
  }

  private void retryLater(final String call, final Throwable failure, final Runnable retry) {
    if (!failing) {
      failing = true;
      Logger.warn(
          "event=dependency-lost dependency=store prefix={} call={} loaded={} reason={}",
          prefix,
          call,
          loaded,
          failure.getMessage());
    }
    retries.schedule(retry, RETRY_DELAY_MILLIS);
  }
}
