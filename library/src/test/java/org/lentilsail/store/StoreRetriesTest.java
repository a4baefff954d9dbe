package org.lentilsail.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lentilsail.ManualExecutor;
import org.lentilsail.model.time.ManualTimeSource;

/** Guards against calls that wait although the store is back, and against additional calls. */
class StoreRetriesTest {
  private static final long DELAY_MILLIS = 1_000;
  private static final Duration OUTAGE = Duration.ofMillis(300);
  private static final Duration SINGLE_FAILURE = Duration.ofMillis(190);

  private final ManualTimeSource time = new ManualTimeSource(0);
  private final ManualExecutor executor = new ManualExecutor(time);
  private int probes;
  private int returns;
  private int calls;
  private final StoreRetries retries =
      new StoreRetries(executor, time, () -> probes++, () -> returns++);

  @Test
  void repeatsCallOnceWhenStoreReturns() {
    retries.recordFailure();
    retries.schedule(() -> calls++, DELAY_MILLIS);
    executor.advance(OUTAGE);
    assertThat(calls, is(0));
    retries.recordSuccess();
    assertThat(calls, is(1));
    assertThat(returns, is(1));
    executor.advance(Duration.ofMillis(DELAY_MILLIS));
    assertThat(calls, is(1));
  }

  /** A store above a rate limit must not get more calls because some of them succeed. */
  @Test
  void keepsDelayWhileOnlySomeCallsFail() {
    retries.schedule(() -> calls++, DELAY_MILLIS);
    for (int i = 0; i < 5; i++) {
      retries.recordFailure();
      executor.advance(SINGLE_FAILURE);
      retries.recordSuccess();
    }
    assertThat(calls, is(0));
    executor.advance(Duration.ofMillis(DELAY_MILLIS));
    assertThat(calls, is(1));
    assertThat(returns, is(0));
  }

  @Test
  void probesOnlyDuringOutage() {
    executor.advance(Duration.ofSeconds(3));
    assertThat(probes, is(0));
    retries.recordFailure();
    executor.advance(Duration.ofSeconds(3));
    assertThat(probes, allOf(greaterThanOrEqualTo(9), lessThanOrEqualTo(15)));
    retries.recordSuccess();
    final int before = probes;
    executor.advance(Duration.ofSeconds(3));
    assertThat(probes, is(before));
  }

  @Test
  void cancelledCallIsNotRepeated() {
    retries.recordFailure();
    final Runnable pending = retries.onReturn(() -> calls++);
    assertThat(retries.cancel(pending), is(true));
    executor.advance(OUTAGE);
    retries.recordSuccess();
    assertThat(calls, is(0));
  }
}
