package org.lentilsail.jobs;

import java.util.concurrent.ThreadLocalRandom;
import org.lentilsail.model.time.TimeSource;

/** Decides how long a daemon waits before it claims leadership that is free. */
final class ClaimDelay {
  /** Upper bound in ms of the random delay before a claim, which makes simultaneous claims rare. */
  private static final int CLAIM_JITTER_MILLIS = 12;

  /**
   * Additional delay in ms for each second of uptime. A rolling restart stops the daemons with the
   * longest uptime next, so a daemon that has just started is preferred as leader.
   */
  private static final double CLAIM_DELAY_MILLIS_PER_SECOND = 1.5;

  /** Upper bound in ms of the delay for uptime. */
  private static final long MAX_UPTIME_DELAY_MILLIS = 45;

  private final TimeSource time;
  private final CapacityPreference capacity;
  private final long createdAt;

  ClaimDelay(final TimeSource time, final CapacityPreference capacity) {
    this.time = time;
    this.capacity = capacity;
    this.createdAt = time.nanos();
  }

  /** Returns the delay in ms of a claim that begins now. */
  long millis() {
    final double uptimeSeconds = (time.nanos() - createdAt) / 1e9;
    return capacity.claimDelayMillis()
        + ThreadLocalRandom.current().nextInt(CLAIM_JITTER_MILLIS)
        + Math.min((long) (uptimeSeconds * CLAIM_DELAY_MILLIS_PER_SECOND), MAX_UPTIME_DELAY_MILLIS);
  }
}
