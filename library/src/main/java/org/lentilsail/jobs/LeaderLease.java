package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.KeyValueStore;

/**
 * Renews the lease of the holder and tells until when this daemon surely holds it. Owned by the
 * control thread.
 */
final class LeaderLease {
  /** Renewals in the life of a lease. */
  private static final int RENEWALS = 4;

  /** Time in ns by which trust ends before the lease can. */
  private static final long MARGIN_NANOS = 150_000_000L;

  /**
   * Difference in ns between the clocks above which the VM may have been suspended: the steady
   * clock does not count a suspension, the wall clock does.
   */
  private static final long SUSPENSION_NANOS = 400_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final KeyValueStore store;
  private final ScheduledExecutorService executor;
  private final TimeSource time;
  private final DecisionLog log;
  private final Duration timeToLive;
  private final Runnable ended;
  private GrantedLease lease;
  private long renewedAt;
  private long renewedWallMillis;
  private boolean doubted;
  private boolean failing;
  private int generation;

  LeaderLease(
      final KeyValueStore store,
      final ScheduledExecutorService executor,
      final TimeSource time,
      final DecisionLog log,
      final Duration timeToLive,
      final Runnable ended) {
    this.store = store;
    this.executor = executor;
    this.time = time;
    this.log = log;
    this.timeToLive = timeToLive;
    this.ended = ended;
  }

  CompletableFuture<GrantedLease> grant() {
    return store.grantLease(timeToLive);
  }

  void hold(final GrantedLease granted, final long sentAt) {
    lease = granted;
    generation++;
    renewed(sentAt, time.wallMillis() - (time.nanos() - sentAt) / NANOS_PER_MILLI);
    scheduleRenewal(generation);
  }

  boolean isValid() {
    if (lease == null || doubted) {
      return false;
    }
    final long steady = time.nanos() - renewedAt;
    final long wall = (time.wallMillis() - renewedWallMillis) * NANOS_PER_MILLI;
    return steady < lease.ttlMillis() * NANOS_PER_MILLI - MARGIN_NANOS
        && wall - steady < SUSPENSION_NANOS;
  }

  void suspect() {
    doubted = true;
    renew(generation);
  }

  /** Ends the lease in the store. */
  void release() {
    if (lease != null) {
      discard(lease);
      forget();
    }
  }

  /** Stops the renewals without a word to the store. */
  void forget() {
    lease = null;
    generation++;
  }

  void discard(final GrantedLease granted) {
    store
        .revokeLease(granted.id())
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                log.log("lease-end-failed", "lease", granted.id(), "reason", failure.getMessage());
              }
            });
  }

  private void renewed(final long sentAt, final long sentWallMillis) {
    renewedAt = sentAt;
    renewedWallMillis = sentWallMillis;
    doubted = false;
  }

  private void scheduleRenewal(final int expected) {
    executor.schedule(
        () -> renewInTurn(expected), lease.ttlMillis() / RENEWALS, TimeUnit.MILLISECONDS);
  }

  private void renewInTurn(final int expected) {
    if (expected == generation) {
      renew(expected);
      scheduleRenewal(expected);
    }
  }

  private void renew(final int expected) {
    if (expected != generation || lease == null) {
      return;
    }
    final long sentAt = time.nanos();
    final long sentWallMillis = time.wallMillis();
    store
        .renewLease(lease.id())
        .whenCompleteAsync(
            logged(
                (alive, failure) -> {
                  if (expected == generation) {
                    judge(alive, failure, sentAt, sentWallMillis);
                  }
                }),
            executor);
  }

  private void judge(
      final Boolean alive, final Throwable failure, final long sentAt, final long sentWallMillis) {
    if (failure != null) {
      if (!failing) {
        failing = true;
        log.log("lease-renewal-failed", "lease", lease.id(), "reason", failure.getMessage());
      }
    } else if (alive) {
      if (failing) {
        failing = false;
        log.log("lease-renewal-regained", "lease", lease.id());
      }
      if (sentAt >= renewedAt) {
        renewed(sentAt, sentWallMillis);
      }
    } else {
      log.log("lease-expired", "lease", lease.id());
      forget();
      ended.run();
    }
  }
}
