package org.lentilsail.policy.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the limits of the queue for both classes of work. */
class QueueLimitTest {
  /** The dispatcher under test, with two workers in zones z1 and z2. */
  private final DispatcherFixture fixture = new DispatcherFixture(2);

  /**
   * Guards against a surplus of short work that evicts long work from the queue: short work starts
   * first anyway, so evicting long work would not help it.
   */
  @Test
  void keepsLongWorkWhenTheShortQueueIsFull() {
    fixture.learn("/long", 5_000);
    fixture.configure(new DispatchSettings(200, 10, Map.of()));
    fixture.submitMany(16, "/s");
    fixture.submit(50, "/long", "", false, 60_000, Set.of());
    fixture.submitRange(100, 110, "/s");
    assertThat(fixture.refused, is(Map.of(110L, RefusalReason.QUEUE_FULL)));
    assertThat(fixture.dispatcher.statistics().waitingLong(), is(1));
  }

  /** Guards against an unbounded queue of long work. */
  @Test
  void boundsTheLongQueue() {
    fixture.learn("/long", 5_000);
    fixture.configure(new DispatchSettings(200, 10, Map.of()));
    fixture.submitMany(16, "/s");
    for (int i = 0; i < 11; i++) {
      fixture.submit(100 + i, "/long", "", false, 600_000, Set.of());
    }
    assertThat(fixture.refused, is(Map.of(110L, RefusalReason.QUEUE_FULL)));
  }
}
