package org.lentilsail.policy.capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards the forecast of peaks against wrong trust in an order. */
class PeakOrderTest {
  private final PeakOrder order = new PeakOrder();

  private void peaks(final String... pools) {
    for (final String peak : pools) {
      final Map<String, PoolNeed> needs = new TreeMap<>();
      for (final String pool : new String[] {"a", "b", "c"}) {
        final PoolNeed need = new PoolNeed(0);
        need.update(pool.equals(peak) ? 9 : 1, 0, 10);
        needs.put(pool, need);
      }
      order.update(needs);
    }
  }

  /** Fails when the pool that followed the last time is not expected again. */
  @Test
  void expectsTheLastOrder() {
    peaks("a", "b", "c", "a");
    assertThat(order.expected(), is("b"));
    assertThat(order.height("b"), is(9));
  }

  /** Fails when an order that did not hold is still used to move VMs. */
  @Test
  void expectsNothingAfterMisses() {
    peaks("a", "b", "c", "a", "c");
    assertThat(order.expected(), is(""));
  }

  /** Fails when the forecast stays off although the order holds again. */
  @Test
  void recoversWhenTheOrderHolds() {
    peaks("a", "b", "c", "a", "c", "a", "c", "a", "c", "a");
    assertThat(order.expected(), is("c"));
  }
}
