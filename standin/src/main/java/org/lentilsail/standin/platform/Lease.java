package org.lentilsail.standin.platform;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** A lease with the keys that are deleted when it lapses. */
final class Lease {
  /** Time after which it lapses without renewal. */
  private final Duration timeToLive;

  /** Monotonic time at which it lapses. */
  private long lapsesNanos;

  /** Keys that belong to it. */
  private final Set<String> keys = new HashSet<>();

  Lease(final Duration timeToLive, final long nowNanos) {
    this.timeToLive = timeToLive;
    renew(nowNanos);
  }

  void renew(final long nowNanos) {
    lapsesNanos = nowNanos + timeToLive.toNanos();
  }

  boolean hasExpired(final long nowNanos) {
    return nowNanos - lapsesNanos >= 0;
  }

  Set<String> keys() {
    return keys;
  }
}
