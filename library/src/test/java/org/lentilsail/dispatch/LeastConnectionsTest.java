package org.lentilsail.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.lentilsail.entry.FakeConfiguration;
import org.lentilsail.model.fleet.VmPhase;

/**
 * Guards against too many requests on a worker and against requests that wait although no worker
 * can take them.
 */
class LeastConnectionsTest {
  private final FakeConfiguration configuration = new FakeConfiguration();
  private final LeastConnections slots = new LeastConnections(configuration);

  /** Guards against more than 8 requests on a worker, and more than 1 while it is verifying. */
  @Test
  void limitsSlotsByPhase() {
    configuration
        .with("a", "h:1", VmPhase.IN_SERVICE)
        .with("b", "h:2", VmPhase.VERIFYING)
        .with("c", "h:3", VmPhase.DRAINING);
    final List<String> granted = new ArrayList<>();
    for (int i = 0; i < 13; i++) {
      slots.acquire(requirements(Set.of())).thenAccept(slot -> granted.add(slot.vm()));
    }
    assertThat(granted.stream().filter("a"::equals).count(), is(8L));
    assertThat(granted.stream().filter("b"::equals).count(), is(1L));
    assertThat(granted.size(), is(9));
  }

  /** Guards against a slot that is granted to a cancelled request. */
  @Test
  void skipsCancelledRequest() throws Exception {
    configuration.with("b", "h:2", VmPhase.VERIFYING);
    final Slot first = slots.acquire(requirements(Set.of())).get();
    final CompletableFuture<Slot> cancelled = slots.acquire(requirements(Set.of()));
    final CompletableFuture<Slot> waiting = slots.acquire(requirements(Set.of()));
    cancelled.cancel(true);
    first.release(SlotResult.OK, 1);
    first.release(SlotResult.OK, 1);
    assertThat(waiting.get().vm(), is("b"));
    assertThat(slots.acquire(requirements(Set.of())).isDone(), is(false));
  }

  /** Guards against a wait for a worker on which the request has already failed. */
  @Test
  void refusesWithoutCandidate() {
    configuration.with("a", "h:1", VmPhase.IN_SERVICE);
    assertThat(slots.acquire(requirements(Set.of("a"))).isCompletedExceptionally(), is(true));
  }

  private static SlotRequirements requirements(final Set<String> excluded) {
    return new SlotRequirements("tee", "/", "", false, 0, Long.MAX_VALUE, excluded);
  }
}
