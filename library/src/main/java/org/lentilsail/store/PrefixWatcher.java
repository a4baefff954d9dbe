package org.lentilsail.store;

import static org.lentilsail.store.Callbacks.logged;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.time.TimeSource;
import org.tinylog.Logger;

/**
 * Follows the items under a prefix: reads them all, then watches for changes, and reads them again
 * when the store has dropped part of its history. All work happens on one executor thread.
 */
public final class PrefixWatcher implements AutoCloseable {
  /** Longest wait of one watch; it bounds how long a silent connection goes unnoticed. */
  private static final Duration WAIT = Duration.ofMillis(1_500);

  /** Pause in ms after a failed call. */
  private static final long RETRY_MILLIS = 150;

  private final KeyValueStore store;
  private final String prefix;
  private final PrefixListener listener;
  private final ScheduledExecutorService executor;
  private final TimeSource time;
  private final long minIntervalNanos;
  private boolean closed;
  private boolean loaded;
  private boolean failing;
  private long revision;
  private long lastCallAt;
  private long lastResponseAt = Long.MIN_VALUE / 2;

  /**
   * Creates a follower that has not started.
   *
   * @param store the store
   * @param prefix begin of the keys
   * @param listener hears of the items
   * @param executor runs everything; a single thread
   * @param time clock
   * @param minInterval least time between two calls, so that many changes share an answer
   */
  public PrefixWatcher(
      final KeyValueStore store,
      final String prefix,
      final PrefixListener listener,
      final ScheduledExecutorService executor,
      final TimeSource time,
      final Duration minInterval) {
    this.store = store;
    this.prefix = prefix;
    this.listener = listener;
    this.executor = executor;
    this.time = time;
    this.minIntervalNanos = minInterval.toNanos();
  }

  /** Starts to follow. */
  public void start() {
    executor.execute(this::read);
  }

  /**
   * Returns when the store last answered.
   *
   * @return monotonic time in ns, the smallest value before the first answer
   */
  public long lastResponseAt() {
    return lastResponseAt;
  }

  /** Stops to follow; called on the executor's thread. */
  @Override
  public void close() {
    closed = true;
  }

  private void read() {
    if (closed) {
      return;
    }
    RangeReader.readAll(store, prefix)
        .whenCompleteAsync(
            logged(
                (page, failure) -> {
                  if (closed) {
                    return;
                  }
                  if (failure != null) {
                    failed("read", failure, this::read);
                    return;
                  }
                  answered();
                  loaded = true;
                  revision = page.revision();
                  listener.onSnapshot(page.items());
                  listener.onBatchEnd();
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
    store
        .watch(prefix, revision, WAIT)
        .whenCompleteAsync(
            logged(
                (batch, failure) -> {
                  if (closed) {
                    return;
                  }
                  if (failure != null) {
                    failed("watch", failure, this::watch);
                    return;
                  }
                  answered();
                  take(batch);
                }),
            executor);
  }

  private void take(final WatchBatch batch) {
    if (batch.historyCompacted()) {
      Logger.info("event=history-lost prefix={} revision={}", prefix, revision);
      read();
      return;
    }
    revision = Math.max(revision, batch.revision());
    for (final ItemChange change : batch.changes()) {
      listener.onChange(change);
    }
    if (!batch.changes().isEmpty()) {
      listener.onBatchEnd();
    }
    watch();
  }

  private void answered() {
    lastResponseAt = time.nanos();
    if (failing) {
      failing = false;
      Logger.info("event=dependency-regained dependency=store prefix={}", prefix);
    }
  }

  private void failed(final String call, final Throwable failure, final Runnable again) {
    if (!failing) {
      failing = true;
      Logger.warn(
          "event=dependency-lost dependency=store prefix={} call={} loaded={} reason={}",
          prefix,
          call,
          loaded,
          failure.getMessage());
    }
    executor.schedule(again, RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
