package org.lentilsail.policy.capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests the forecast of peaks from their order. */
class PeakForecastTest {
  private final PeakForecast forecast = new PeakForecast();

  private void peaks(final String... pools) {
    for (final String peak : pools) {
      final Map<String, PoolDemand> poolDemands = new TreeMap<>();
      for (final String pool : new String[] {"a", "b", "c"}) {
        final PoolDemand poolDemand = new PoolDemand(0);
        poolDemand.update(pool.equals(peak) ? 9 : 1, 0, 10);
        poolDemands.put(pool, poolDemand);
      }
      forecast.update(poolDemands);
    }
  }

  /** Guards against a forecast that ignores the order of the last peaks. */
  @Test
  void expectsTheLastOrder() {
    peaks("a", "b", "c", "a");
    assertThat(forecast.nextPeakPool(), is("b"));
    assertThat(forecast.peakVms("b"), is(9));
  }

  /** Guards against moves that follow an order which did not repeat. */
  @Test
  void expectsNothingAfterMisses() {
    peaks("a", "b", "c", "a", "c");
    assertThat(forecast.nextPeakPool(), is(""));
  }

  /** Guards against a forecast that stays off although the order repeats again. */
  @Test
  void recoversWhenTheOrderRepeats() {
    peaks("a", "b", "c", "a", "c", "a", "c", "a", "c", "a");
    assertThat(forecast.nextPeakPool(), is("c"));
  }
}
