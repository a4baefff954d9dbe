package org.lentilsail.jobs;

import java.time.Duration;
import java.util.function.Supplier;
import org.lentilsail.policy.access.AccessControl;
import org.lentilsail.policy.access.RevocationBounds;
import org.lentilsail.store.PrefixWatcher;

/**
 * Determines how long a watch of the operators' items waits. Its response confirms the
 * configuration, which a daemon may use only up to an age if the bounds are strict.
 */
final class OperatorWatchTimeout implements Supplier<Duration> {
  /** Wait while the evidence is old, so that the store responds at once after an outage. */
  private static final Duration CONFIRM_NOW = Duration.ofMillis(1);

  /**
   * Time in ms allowed for responses: evidence is old beyond one wait and this time, and two waits
   * and this time fit in the maximum age.
   */
  private static final long RESPONSE_MILLIS = 400;

  /** Minimum wait in ms, for very short bounds; it limits the calls to 20 a second. */
  private static final long MIN_WAIT_MILLIS = 50;

  private final AccessControl access;
  private final boolean strict;
  private final Duration wait;

  OperatorWatchTimeout(final RevocationBounds bounds, final AccessControl access) {
    this.access = access;
    strict = bounds.strict();
    wait = strict ? strictWait(bounds) : PrefixWatcher.WATCH_TIMEOUT;
  }

  @Override
  public Duration get() {
    return strict && isOld() ? CONFIRM_NOW : wait;
  }

  /** Without a configuration there is nothing to confirm, and short waits would never end. */
  private boolean isOld() {
    return access.snapshot().isPresent() && access.ageMillis() > wait.toMillis() + RESPONSE_MILLIS;
  }

  /** The evidence of one watch is in use until the next one has been answered. */
  private static Duration strictWait(final RevocationBounds bounds) {
    final long millis = Math.max(MIN_WAIT_MILLIS, (bounds.maxAgeMillis() - RESPONSE_MILLIS) / 2);
    return Duration.ofMillis(Math.min(millis, PrefixWatcher.WATCH_TIMEOUT.toMillis()));
  }
}
