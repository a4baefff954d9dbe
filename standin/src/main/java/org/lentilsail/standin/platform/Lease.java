package org.lentilsail.standin.platform;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** A lease with the keys that are deleted when it expires. */
final class Lease {
  /** Time after which the lease expires without renewal. */
  private final Duration timeToLive;

  /** Monotonic time in ns at which the lease expires. */
  private long expiryNanos;

  private final Set<String> keys = new HashSet<>();

  Lease(final Duration timeToLive, final long nowNanos) {
    this.timeToLive = timeToLive;
    renew(nowNanos);
  }

  void renew(final long nowNanos) {
    expiryNanos = nowNanos + timeToLive.toNanos();
  }

  boolean hasExpired(final long nowNanos) {
    return nowNanos - expiryNanos >= 0;
  }

  Set<String> keys() {
    return keys;
  }
}
