package org.lentilsail.policy.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a zone which is unreachable from the caller's zone is avoided as a whole. */
class ZoneReachabilityTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The dispatcher under test, with a worker in each of the zones z1 and z2. */
  private final DispatcherFixture fixture = new DispatcherFixture(2);

  /** Adds two workers in z3. */
  @BeforeEach
  void addZone() {
    fixture.dispatcher.putWorker("w3", "z3", WorkerMode.OPEN, 0);
    fixture.dispatcher.putWorker("w4", "z3", WorkerMode.OPEN, 0);
  }

  private void failZone(final int perWorker) {
    fixture.submitMany(32, "/s");
    for (int i = 0; i < perWorker; i++) {
      List.of("w3", "w4").forEach(this::failOne);
    }
  }

  private void failOne(final String vm) {
    final long number =
        fixture.granted.keySet().stream()
            .filter(granted -> vm.equals(fixture.granted.get(granted)))
            .findFirst()
            .orElseThrow();
    fixture.dispatcher.release(
        fixture.id(number), WorkerResult.FAILED, NANOS_PER_MILLI, fixture.nowNanos);
    fixture.granted.remove(number);
  }

  /** Guards against requests that fail on each worker of an unreachable zone in turn. */
  @Test
  void avoidsZoneWhenSeveralOfItsWorkersFail() {
    failZone(1);
    fixture.submitRange(101, 110, "/s");
    assertThat(fixture.startedBetween(101, 110), is(0L));
  }

  /**
   * Guards against workers that stay withdrawn for seconds after the route to them has recovered.
   */
  @Test
  void attributesFailuresToTheRoute() {
    failZone(8);
    assertThat(fixture.dispatcher.unhealthyVms(), not(hasItem("w4")));
    fixture.nowNanos = 300 * NANOS_PER_MILLI;
    fixture.submitRange(101, 110, "/s");
    assertThat(fixture.startedBetween(101, 110), is(1L));
    fixture.release(101);
    assertThat(fixture.startedBetween(101, 110), is(10L));
  }

  /** Guards against a zone that is avoided by daemons that can reach it. */
  @Test
  void closesOnlyTheRouteThatFails() {
    failZone(8);
    fixture.dispatcher.submit(
        new DispatchRequest(
            fixture.id(200), "z3", "/s", "", true, 0, 60_000 * NANOS_PER_MILLI, Set.of()),
        0);
    assertThat(fixture.granted.containsKey(200L), is(true));
  }

  /** Guards against a service without usable workers because all routes are closed. */
  @Test
  void usesEveryZoneWhenNoneIsReachable() {
    failZone(8);
    fixture.dispatcher.removeWorker("w1", 0);
    fixture.dispatcher.removeWorker("w2", 0);
    fixture.submitRange(101, 101, "/s");
    assertThat(fixture.startedBetween(101, 101), is(1L));
    assertThat(fixture.refused.keySet(), empty());
  }
}
