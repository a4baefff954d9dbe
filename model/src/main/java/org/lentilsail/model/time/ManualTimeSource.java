package org.lentilsail.model.time;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A time source that is advanced explicitly, for scenario tests and measurements. */
public final class ManualTimeSource implements TimeSource {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Wall clock time at the origin, in milliseconds since the Unix epoch. */
  private final long originMillis;

  /** Time since the origin in nanoseconds. */
  private final AtomicLong elapsedNanos = new AtomicLong();

  /**
   * Creates a time source.
   *
   * @param originMillis initial wall clock time, in milliseconds since the Unix epoch
   */
  public ManualTimeSource(final long originMillis) {
    this.originMillis = originMillis;
  }

  /**
   * Advances both clocks.
   *
   * @param step duration by which to advance; negative durations are rejected
   */
  public void advance(final Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("a clock cannot be moved back by " + step);
    }
    elapsedNanos.addAndGet(step.toNanos());
  }

  @Override
  public long wallMillis() {
    return originMillis + elapsedNanos.get() / NANOS_PER_MILLI;
  }

  @Override
  public long nanos() {
    return elapsedNanos.get();
  }
}
