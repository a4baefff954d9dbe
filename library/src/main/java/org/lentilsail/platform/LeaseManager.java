package org.lentilsail.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.time.TimeSource;
import org.tinylog.Logger;

/**
 * Holds a lease and tells by the monotonic clock whether it surely still holds it, which a process
 * that was paused needs to know before it acts. The time counts from before the last successful
 * call was sent, because the platform cannot have begun to count earlier. A lost lease is replaced
 * by a new one. All calls but {@link #lease()} and {@link #remaining()} run on the executor's one
 * thread.
 */
public final class LeaseManager implements AutoCloseable {
  /** The keeper gives a lease up this long before it can lapse. */
  public static final Duration SAFETY_MARGIN = Duration.ofSeconds(1);

  /** Time in ms between two looks at the clock; a loss is reported at most this late. */
  private static final long TICK_MILLIS = 100;

  /** The platform. */
  private final PlatformClient platform;

  /** Clock of the lease. */
  private final TimeSource time;

  /** The thread that owns this object. */
  private final ScheduledExecutorService executor;

  /** Time after which the lease lapses without renewal. */
  private final Duration timeToLive;

  /** Time between two renewals. */
  private final Duration renewal;

  /** Learns of gain and loss. */
  private final LeaseListener listener;

  /** The lease and the time up to which it is surely held, null without one. */
  private volatile HeldLease held;

  /** Whether a call is under way. */
  private boolean calling;

  /** Monotonic time at which the last call was begun. */
  private long calledNanos;

  /** Whether a call has been made yet. */
  private boolean called;

  /** The ticks, null before the start and after the end. */
  private ScheduledFuture<?> ticks;

  /** Whether the keeper is to hold no lease any more. */
  private boolean closed;

  /**
   * Creates a keeper that holds nothing yet.
   *
   * @param platform the platform
   * @param time clock of the lease
   * @param executor the thread that owns the keeper
   * @param timeToLive time after which the lease lapses without renewal
   * @param renewal time between two renewals
   * @param listener learns of gain and loss on the executor's thread
   */
  public LeaseManager(
      final PlatformClient platform,
      final TimeSource time,
      final ScheduledExecutorService executor,
      final Duration timeToLive,
      final Duration renewal,
      final LeaseListener listener) {
    this.platform = platform;
    this.time = time;
    this.executor = executor;
    this.timeToLive = timeToLive;
    this.renewal = renewal;
    this.listener = listener;
  }

  /** Begins to ask for a lease and to renew it. */
  public void start() {
    ticks = executor.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the lease if it is surely held; callable from every thread.
   *
   * @return id of the lease, empty without one
   */
  public Optional<String> lease() {
    final HeldLease now = held;
    return now != null && now.validUntilNanos() - time.nanos() > 0
        ? Optional.of(now.id())
        : Optional.empty();
  }

  /**
   * Returns how long the lease is surely held; callable from every thread.
   *
   * @return the time, zero without a lease
   */
  public Duration remaining() {
    final HeldLease now = held;
    final long nanos = now == null ? 0 : now.validUntilNanos() - time.nanos();
    return Duration.ofNanos(Math.max(0, nanos));
  }

  /** Ends the lease; run it on the executor's thread. */
  @Override
  public void close() {
    closed = true;
    if (ticks != null) {
      ticks.cancel(false);
    }
    giveUp("this daemon stops");
  }

  /** Looks at the clock, reports a loss, and renews or asks for a lease when it is time. */
  void tick() {
    if (held != null && lease().isEmpty()) {
      giveUp("it was not renewed in time");
    }
    final long now = time.nanos();
    if (!closed && !calling && (!called || now - calledNanos >= renewal.toNanos())) {
      call(now);
    }
  }

  private void call(final long sentNanos) {
    calling = true;
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
    calling = false;
    if (failure != null) {
      Logger.debug("platform: no lease was granted: {}", failure.getMessage());
    } else if (closed) {
      platform.revokeLease(id);
    } else {
      held = new HeldLease(id, endOf(sentNanos));
      listener.leaseAcquired(id);
    }
  }

  private void renewed(
      final HeldLease before, final Boolean ok, final Throwable failure, final long sentNanos) {
    calling = false;
    if (held == null || !held.id().equals(before.id())) {
      return;
    }
    if (failure != null) {
      Logger.debug("platform: lease was not renewed: {}", failure.getMessage());
    } else if (ok) {
      held = new HeldLease(before.id(), endOf(sentNanos));
    } else {
      giveUp("it has lapsed");
    }
  }

  private void giveUp(final String reason) {
    final HeldLease before = held;
    if (before != null) {
      held = null;
      Logger.info("platform: lease {} is given up: {}", before.id(), reason);
      platform.revokeLease(before.id());
      listener.leaseLost(before.id());
    }
  }

  private long endOf(final long sentNanos) {
    return sentNanos + timeToLive.minus(SAFETY_MARGIN).toNanos();
  }
}
