package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against run numbers that are used twice or, after many terms, become negative. */
class RunNumbersTest {
  @ParameterizedTest
  @CsvSource({
    "1, 0, 1",
    "1, 7, 8",
    "2, 7, 10001",
    "2, 10001, 10002",
    "214749, 0, 2000000001",
    "9223372036854775807, 2000000001, 2000000002"
  })
  void numbersRiseAcrossTerms(final long term, final int lastUsed, final int expected) {
    assertThat(new RunNumbers(term).nextAfter(lastUsed), is(expected));
  }
}
