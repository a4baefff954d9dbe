package org.lentilsail.policy.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests the estimate of the slots that short work needs. */
class ShortLoadEstimatorTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Guards against long work that occupies the slots of a peak for seconds because the peak is
   * detected late: after 0.3 s of an offered load of 5 slots, at least 11 of the 12 required slots
   * are reserved.
   */
  @Test
  void detectsRiseOfShortWorkWithinFractionOfSecond() {
    final ShortLoadEstimator estimator = new ShortLoadEstimator();
    for (long now = 0; now < 300 * NANOS_PER_MILLI; now += 10 * NANOS_PER_MILLI) {
      estimator.recordArrival(50 * NANOS_PER_MILLI, now);
    }
    assertThat(estimator.requiredSlots(300 * NANOS_PER_MILLI), greaterThanOrEqualTo(11));
  }

  /** Guards against slots that stay reserved long after the last short work. */
  @Test
  void releasesReservedSlotsAfterPeak() {
    final ShortLoadEstimator estimator = new ShortLoadEstimator();
    estimator.recordArrival(50 * NANOS_PER_MILLI, 0);
    assertThat(estimator.requiredSlots(60_000 * NANOS_PER_MILLI), is(1));
  }
}
