package org.lentilsail.platform;

import static org.lentilsail.concurrent.Callbacks.loggedTask;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.time.TimeSource;
import org.tinylog.Logger;

/**
 * Acquires and renews a lease, and determines by the monotonic clock whether it is known to be
 * valid; a process that was paused needs to know this before it acts. The validity counts from the
 * time before the last successful call was sent, because the platform cannot have started to count
 * earlier. A lost lease is replaced by a new one. All methods except {@link #lease()} and {@link
 * #remaining()} run on the executor's single thread.
 */
public final class LeaseManager implements AutoCloseable {
  /** A lease is no longer considered valid this long before it can expire. */
  public static final Duration SAFETY_MARGIN = Duration.ofSeconds(1);

  /** Interval in ms of the validity checks; a loss is reported at most this late. */
  private static final long TICK_MILLIS = 100;

  private final PlatformClient platform;
  private final TimeSource time;
  private final ScheduledExecutorService executor;

  /** Time after which the lease expires without renewal. */
  private final Duration timeToLive;

  /** Interval of the renewals. */
  private final Duration renewalInterval;

  private final LeaseListener listener;

  /** The current lease, null without one. */
  private volatile HeldLease held;

  /** Whether a call to the platform is in progress. */
  private boolean callInProgress;

  /** Monotonic time at which the last call was sent. */
  private long calledNanos;

  /** Whether any call has been sent. */
  private boolean called;

  /** The periodic tick, null before the start. */
  private ScheduledFuture<?> ticks;

  /** Whether this manager is closed and must not hold a lease. */
  private boolean closed;

  /**
   * Creates a manager without a lease.
   *
   * @param platform the platform
   * @param time clock of the lease
   * @param executor the thread to which the manager is confined
   * @param timeToLive time after which the lease expires without renewal
   * @param renewalInterval interval of the renewals
   * @param listener is notified of acquired and lost leases on the executor's thread
   */
  public LeaseManager(
      final PlatformClient platform,
      final TimeSource time,
      final ScheduledExecutorService executor,
      final Duration timeToLive,
      final Duration renewalInterval,
      final LeaseListener listener) {
    this.platform = platform;
    this.time = time;
    this.executor = executor;
    this.timeToLive = timeToLive;
    this.renewalInterval = renewalInterval;
    this.listener = listener;
  }

  /** Starts to acquire and renew a lease. */
  public void start() {
    ticks =
        executor.scheduleWithFixedDelay(
            loggedTask("lease", this::tick), 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the lease if it is known to be valid; callable from every thread.
   *
   * @return id of the lease, empty without a valid one
   */
  public Optional<String> lease() {
    final HeldLease now = held;
    return now != null && now.validUntilNanos() - time.nanos() > 0
        ? Optional.of(now.id())
        : Optional.empty();
  }

  /**
   * Returns how long the lease is known to be valid; callable from every thread.
   *
   * @return the time, zero without a valid lease
   */
  public Duration remaining() {
    final HeldLease now = held;
    final long nanos = now == null ? 0 : now.validUntilNanos() - time.nanos();
    return Duration.ofNanos(Math.max(0, nanos));
  }

  /** Revokes the lease; must be called on the executor's thread. */
  @Override
  public void close() {
    closed = true;
    if (ticks != null) {
      ticks.cancel(false);
    }
    releaseLease("this daemon is stopping");
  }

  /** Reports the loss of the lease, and renews or requests a lease when it is due. */
  void tick() {
    if (held != null && lease().isEmpty()) {
      releaseLease("it was not renewed in time");
    }
    final long now = time.nanos();
    if (!closed && !callInProgress && (!called || now - calledNanos >= renewalInterval.toNanos())) {
      call(now);
    }
  }

  private void call(final long sentNanos) {
    callInProgress = true;
    called = true;
    calledNanos = sentNanos;
    final HeldLease before = held;
    if (before == null) {
      platform
          .grantLease(timeToLive)
          .whenCompleteAsync((id, failure) -> granted(id, failure, sentNanos), executor);
    } else {
      platform
          .keepAlive(before.id())
          .whenCompleteAsync((ok, failure) -> renewed(before, ok, failure, sentNanos), executor);
    }
  }

  private void granted(final String id, final Throwable failure, final long sentNanos) {
    callInProgress = false;
    if (failure != null) {
      Logger.debug("platform: requesting a lease failed: {}", failure.getMessage());
    } else if (closed) {
      platform.revokeLease(id);
    } else {
      held = new HeldLease(id, validUntil(sentNanos));
      listener.leaseAcquired(id);
    }
  }

  private void renewed(
      final HeldLease before, final Boolean ok, final Throwable failure, final long sentNanos) {
    callInProgress = false;
    if (held == null || !held.id().equals(before.id())) {
      return;
    }
    if (failure != null) {
      Logger.debug("platform: renewing the lease failed: {}", failure.getMessage());
    } else if (ok) {
      held = new HeldLease(before.id(), validUntil(sentNanos));
    } else {
      releaseLease("it has expired");
    }
  }

  private void releaseLease(final String reason) {
    final HeldLease before = held;
    if (before != null) {
      held = null;
      Logger.info("platform: lease {} is released: {}", before.id(), reason);
      platform.revokeLease(before.id());
      listener.leaseLost(before.id());
    }
  }

  private long validUntil(final long sentNanos) {
    return sentNanos + timeToLive.minus(SAFETY_MARGIN).toNanos();
  }
}
