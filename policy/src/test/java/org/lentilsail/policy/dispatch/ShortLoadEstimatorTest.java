package org.lentilsail.policy.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards the estimate of the slots that short work needs. */
class ShortLoadEstimatorTest {
  /** One millisecond in ns. */
  private static final long MILLI = 1_000_000L;

  /**
   * Guards against long work, which runs for seconds, that takes the slots of a peak before the
   * peak is seen: after 0.3 s of an offered load of 5 slots, 9 in 10 of the 12 slots are kept.
   */
  @Test
  void seesRiseOfShortWorkWithinFractionOfSecond() {
    final ShortLoadEstimator load = new ShortLoadEstimator();
    for (long now = 0; now < 300 * MILLI; now += 10 * MILLI) {
      load.recordArrival(50 * MILLI, now);
    }
    assertThat(load.requiredSlots(300 * MILLI), greaterThanOrEqualTo(11));
  }

  /** Guards against slots that stay empty long after the last short work. */
  @Test
  void givesSlotsBackAfterPeak() {
    final ShortLoadEstimator load = new ShortLoadEstimator();
    load.recordArrival(50 * MILLI, 0);
    assertThat(load.requiredSlots(60_000 * MILLI), is(1));
  }
}
