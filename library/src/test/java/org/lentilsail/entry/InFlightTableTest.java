package org.lentilsail.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lentilsail.model.fleet.VmPhase;

/** Guards against drain confirmations that miss a request in flight. */
class InFlightTableTest {
  /** Guards against reported counts of VMs in service, and against lost counts. */
  @Test
  void countsOnlyVmsOutOfService() {
    final FakeConfiguration configuration =
        new FakeConfiguration()
            .with("a", "h:1", VmPhase.DRAINING)
            .with("b", "h:2", VmPhase.IN_SERVICE);
    final InFlightTable table = new InFlightTable();
    table.begin("a");
    table.begin("a");
    table.begin("b");
    table.end("a", true);
    assertThat(table.inFlight(configuration.current().fleet()), is(Map.of("a", 1)));
    table.end("a", false);
    assertThat(table.inFlight(configuration.current().fleet()), is(Map.of()));
  }

  /** Guards against responses before the verification that are counted for it. */
  @Test
  void countsResponsesSinceVerificationBegan() {
    final FakeConfiguration configuration =
        new FakeConfiguration().with("a", "h:1", VmPhase.IN_SERVICE);
    final InFlightTable table = new InFlightTable();
    table.apply(configuration.current().fleet());
    respond(table);
    table.apply(configuration.with("a", "h:1", VmPhase.VERIFYING).current().fleet());
    respond(table);
    respond(table);
    table.apply(configuration.current().fleet());
    assertThat(table.responses(), is(Map.of("a", 2)));
    table.apply(configuration.with("a", "h:1", VmPhase.IN_SERVICE).current().fleet());
    assertThat(table.responses(), is(Map.of()));
  }

  private static void respond(final InFlightTable table) {
    table.begin("a");
    table.end("a", true);
  }
}
