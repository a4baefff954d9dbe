package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoreRetries;

/**
 * Renews the lease of the leader and tracks until when it is known to be valid. Confined to the
 * control thread.
 */
final class LeaderLease {
  /** Number of renewals within the time to live of the lease. */
  private static final int RENEWALS_PER_TTL = 4;

  /**
   * Safety margin in ns: the lease counts as invalid this long before it can expire in the store.
   */
  private static final long SAFETY_MARGIN_NANOS = 150_000_000L;

  /**
   * Difference in ns between the elapsed wall-clock and monotonic time above which the VM may have
   * been suspended. The monotonic clock does not advance during a suspension, the wall clock does.
   */
  private static final long SUSPENSION_THRESHOLD_NANOS = 400_000_000L;

  /**
   * Interval in ms of renewals while they fail. Daemons that have run for 30 s or more claim 45 ms
   * or more after the return of the store; the leader, which has all state, is to be earlier.
   */
  private static final long FAILED_RENEWAL_DELAY_MILLIS = 40;

  /** Time in ms after which an unconfirmed release is repeated. */
  private static final long RELEASE_RETRY_DELAY_MILLIS = 50;

  /** Time in ns after which an unconfirmed release is abandoned; longer than a usual outage. */
  private static final long MAX_RELEASE_NANOS = 10_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final KeyValueStore store;
  private final ScheduledExecutorService executor;
  private final TimeSource time;
  private final DecisionLog log;
  private final Duration timeToLive;
  private final Runnable expired;
  private final Runnable regained;
  private final StoreRetries retries;
  private final Set<Long> releasing = ConcurrentHashMap.newKeySet();
  private GrantedLease lease;
  private long renewedAt;
  private long renewedWallMillis;
  private boolean suspected;
  private boolean renewalFailing;
  private int leaseGeneration;

  LeaderLease(
      final KeyValueStore store,
      final ScheduledExecutorService executor,
      final TimeSource time,
      final DecisionLog log,
      final Duration timeToLive,
      final Runnable expired) {
    this(
        store,
        executor,
        time,
        log,
        timeToLive,
        expired,
        () -> {},
        new StoreRetries(executor, time));
  }

  LeaderLease(
      final KeyValueStore store,
      final ScheduledExecutorService executor,
      final TimeSource time,
      final DecisionLog log,
      final Duration timeToLive,
      final Runnable expired,
      final Runnable regained,
      final StoreRetries retries) {
    this.store = store;
    this.executor = executor;
    this.time = time;
    this.log = log;
    this.timeToLive = timeToLive;
    this.expired = expired;
    this.regained = regained;
    this.retries = retries;
  }

  CompletableFuture<GrantedLease> grant() {
    return store.grantLease(timeToLive);
  }

  void hold(final GrantedLease granted, final long sentAt) {
    lease = granted;
    leaseGeneration++;
    recordRenewal(sentAt, time.wallMillis() - (time.nanos() - sentAt) / NANOS_PER_MILLI);
    scheduleRenewal(leaseGeneration);
  }

  boolean isValid() {
    if (lease == null || suspected) {
      return false;
    }
    final long monotonicElapsed = monotonicElapsed();
    return monotonicElapsed < lease.ttlMillis() * NANOS_PER_MILLI - SAFETY_MARGIN_NANOS
        && wallElapsed() - monotonicElapsed < SUSPENSION_THRESHOLD_NANOS;
  }

  /**
   * Returns the time since the last renewal that the store has confirmed was sent. The lease may
   * have ended at any moment since, also early. A short suspension of the VM counts.
   *
   * @return time in ns
   */
  long unconfirmedNanos() {
    return Math.max(monotonicElapsed(), wallElapsed());
  }

  private long monotonicElapsed() {
    return time.nanos() - renewedAt;
  }

  private long wallElapsed() {
    return (time.wallMillis() - renewedWallMillis) * NANOS_PER_MILLI;
  }

  /**
   * Returns whether the store has not confirmed a renewal for longer than usual. The lease may
   * still be valid.
   */
  boolean isRenewalOverdue() {
    return lease != null
        && time.nanos() - renewedAt
            > lease.ttlMillis() * NANOS_PER_MILLI / RENEWALS_PER_TTL + SAFETY_MARGIN_NANOS;
  }

  void suspect() {
    suspected = true;
    renew(leaseGeneration);
  }

  /**
   * Revokes the lease in the store, so that another daemon can claim leadership at once. The call
   * is repeated until the store confirms it; the lease may not expire while the store is down.
   */
  void release() {
    if (lease != null) {
      revoke(lease, time.nanos() + MAX_RELEASE_NANOS);
      forget();
    }
  }

  /** Returns whether a release is not confirmed yet; may be called from any thread. */
  boolean isReleasing() {
    return !releasing.isEmpty();
  }

  private void revoke(final GrantedLease granted, final long until) {
    releasing.add(granted.id());
    store
        .revokeLease(granted.id())
        .thenRun(
            () -> {
              if (releasing.remove(granted.id())) {
                log.log("lease-released", "lease", granted.id());
              }
            });
    retries.schedule(() -> repeatRevoke(granted, until), RELEASE_RETRY_DELAY_MILLIS);
  }

  private void repeatRevoke(final GrantedLease granted, final long until) {
    if (!releasing.contains(granted.id())) {
      return;
    }
    if (time.nanos() < until) {
      revoke(granted, until);
    } else {
      releasing.remove(granted.id());
      log.log("lease-end-failed", "lease", granted.id(), "reason", "the store does not respond");
    }
  }

  /** Stops the renewals without revoking the lease in the store. */
  void forget() {
    lease = null;
    leaseGeneration++;
  }

  /**
   * Revokes a lease that was granted and is not held. Its claim may have been applied without a
   * confirmation, so the call is repeated like a release.
   */
  void discard(final GrantedLease granted) {
    revoke(granted, time.nanos() + MAX_RELEASE_NANOS);
  }

  private void recordRenewal(final long sentAt, final long sentWallMillis) {
    renewedAt = sentAt;
    renewedWallMillis = sentWallMillis;
    suspected = false;
  }

  private void scheduleRenewal(final int expectedGeneration) {
    final Runnable renewal = () -> renewPeriodically(expectedGeneration);
    if (renewalFailing) {
      retries.schedule(renewal, FAILED_RENEWAL_DELAY_MILLIS);
    } else {
      executor.schedule(renewal, lease.ttlMillis() / RENEWALS_PER_TTL, TimeUnit.MILLISECONDS);
    }
  }

  private void renewPeriodically(final int expectedGeneration) {
    if (expectedGeneration == leaseGeneration) {
      renew(expectedGeneration);
      scheduleRenewal(expectedGeneration);
    }
  }

  private void renew(final int expectedGeneration) {
    if (expectedGeneration != leaseGeneration || lease == null) {
      return;
    }
    final long sentAt = time.nanos();
    final long sentWallMillis = time.wallMillis();
    store
        .renewLease(lease.id())
        .whenCompleteAsync(
            logged(
                (alive, failure) -> {
                  if (expectedGeneration == leaseGeneration) {
                    handleRenewal(alive, failure, sentAt, sentWallMillis);
                  }
                }),
            executor);
  }

  private void handleRenewal(
      final Boolean alive, final Throwable failure, final long sentAt, final long sentWallMillis) {
    if (failure != null) {
      if (!renewalFailing) {
        renewalFailing = true;
        log.log("lease-renewal-failed", "lease", lease.id(), "reason", failure.getMessage());
      }
    } else if (alive) {
      if (sentAt >= renewedAt) {
        recordRenewal(sentAt, sentWallMillis);
      }
      if (renewalFailing) {
        renewalFailing = false;
        log.log("lease-renewal-regained", "lease", lease.id());
        regained.run();
      }
    } else {
      log.log("lease-expired", "lease", lease.id());
      forget();
      expired.run();
    }
  }
}
