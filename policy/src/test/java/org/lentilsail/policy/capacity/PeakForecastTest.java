package org.lentilsail.policy.capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards the forecast of peaks against wrong trust in an order. */
class PeakForecastTest {
  private final PeakForecast order = new PeakForecast();

  private void peaks(final String... pools) {
    for (final String peak : pools) {
      final Map<String, PoolDemand> needs = new TreeMap<>();
      for (final String pool : new String[] {"a", "b", "c"}) {
        final PoolDemand need = new PoolDemand(0);
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
    assertThat(order.nextPeakPool(), is("b"));
    assertThat(order.peakVms("b"), is(9));
  }

  /** Fails when an order that did not hold is still used to move VMs. */
  @Test
  void expectsNothingAfterMisses() {
    peaks("a", "b", "c", "a", "c");
    assertThat(order.nextPeakPool(), is(""));
  }

  /** Fails when the forecast stays off although the order holds again. */
  @Test
  void recoversWhenTheOrderHolds() {
    peaks("a", "b", "c", "a", "c", "a", "c", "a", "c", "a");
    assertThat(order.nextPeakPool(), is("c"));
  }
}
