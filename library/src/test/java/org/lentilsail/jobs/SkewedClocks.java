package org.lentilsail.jobs;

import java.time.Duration;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.model.time.TimeSource;

/** Clocks of a VM that run slow or fast, stop, or are set while real time goes on. */
final class SkewedClocks implements TimeSource {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ManualTimeSource real;
  private final double rate;
  private long suspendedNanos;
  private long setBackMillis;

  SkewedClocks(final ManualTimeSource real, final double rate) {
    this.real = real;
    this.rate = rate;
  }

  /** Stops the monotonic clock for a time that ends now. */
  void wasSuspendedFor(final Duration time) {
    suspendedNanos += time.toNanos();
  }

  /** Sets the wall clock back, forward if negative. */
  void setWallClockBack(final long millis) {
    setBackMillis += millis;
  }

  @Override
  public long wallMillis() {
    return (long) (real.nanos() * rate) / NANOS_PER_MILLI + 1_700_000_000_000L - setBackMillis;
  }

  @Override
  public long nanos() {
    return (long) ((real.nanos() - suspendedNanos) * rate);
  }
}
