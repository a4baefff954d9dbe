package org.lentilsail.policy.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against synchronised retries and against waits longer than the limit. */
class BackoffTest {
  /** Guards against a wrong bound and against jitter that does not cover the whole interval. */
  @ParameterizedTest
  @CsvSource({"0, 10", "1, 20", "3, 80", "4, 100", "62, 100", "1000, 100"})
  void drawsFromZeroToTheBound(final int retry, final long boundMillis) {
    final Backoff backoff = new Backoff(Duration.ofMillis(10), Duration.ofMillis(100));
    final SplittableRandom random = new SplittableRandom(7);
    long lowest = Long.MAX_VALUE;
    long highest = 0;
    for (int i = 0; i < 1_000; i++) {
      final long wait = backoff.wait(retry, random).toNanos();
      lowest = Math.min(lowest, wait);
      highest = Math.max(highest, wait);
    }
    final long bound = Duration.ofMillis(boundMillis).toNanos();
    assertThat(highest, lessThanOrEqualTo(bound));
    assertThat(highest, greaterThan(bound * 9 / 10));
    assertThat(lowest, lessThan(bound / 10));
  }
}
