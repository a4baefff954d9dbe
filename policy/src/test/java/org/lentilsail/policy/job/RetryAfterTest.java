package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against callers that return too late for their deadline, or all in the same second. */
class RetryAfterTest {
  @ParameterizedTest
  @CsvSource({
    "0, 0, 1",
    "1000, 0, 1",
    "1100, 0, 2",
    "1100, 0.1, 1",
    "2500, 0.37, 2",
    "2500, 0.38, 1",
    "4000, 0.74, 2",
    "4000, 0.75, 1",
    "60000, 0.74, 2",
    "60000, 0.75, 1",
    "60000, 0.999, 1"
  })
  void growsWithTheOutageAndDiffersBetweenCallers(
      final long unavailableMillis, final double draw, final int seconds) {
    assertThat(RetryAfter.seconds(Duration.ofMillis(unavailableMillis), draw), is(seconds));
  }
}
