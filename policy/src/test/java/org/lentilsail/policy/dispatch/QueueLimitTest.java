package org.lentilsail.policy.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards the limits of the queue for both classes of work. */
class QueueLimitTest {
  /** The dispatcher under test, with two workers in zones z1 and z2. */
  private final DispatcherFixture fixture = new DispatcherFixture(2);

  /**
   * Guards against a surplus of short work that pushes long work out of the queue: short work
   * starts first anyway, so the loss of long work would bring it nothing.
   */
  @Test
  void keepsLongWorkWhenTheShortLaneIsFull() {
    fixture.learn("/long", 5_000);
    fixture.configure(new DispatchSettings(200, 10, Map.of()));
    fixture.ask(16, "/s");
    fixture.submit(50, "/long", "", false, 60_000, Set.of());
    fixture.askFrom(100, 110, "/s");
    assertThat(fixture.refused, is(Map.of(110L, RefusalReason.QUEUE_FULL)));
    assertThat(fixture.dispatcher.statistics().waitingLong(), is(1));
  }

  /** Guards against a queue of long work without bound. */
  @Test
  void boundsTheLongLane() {
    fixture.learn("/long", 5_000);
    fixture.configure(new DispatchSettings(200, 10, Map.of()));
    fixture.ask(16, "/s");
    for (int i = 0; i < 11; i++) {
      fixture.submit(100 + i, "/long", "", false, 600_000, Set.of());
    }
    assertThat(fixture.refused, is(Map.of(110L, RefusalReason.QUEUE_FULL)));
  }
}
