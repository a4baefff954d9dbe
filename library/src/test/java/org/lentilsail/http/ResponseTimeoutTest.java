package org.lentilsail.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against calls that wait long for a response that was lost, and against giving up a server
 * that is merely slow.
 */
class ResponseTimeoutTest {
  private static final Duration MIN = Duration.ofMillis(300);
  private static final Duration MAX = Duration.ofMillis(700);

  private final ResponseTimeout timeout = new ResponseTimeout(MIN, MAX);

  @ParameterizedTest
  @CsvSource({"4, 300", "50, 300", "650, 700"})
  void followsResponseTimeWithinBounds(final long responseMillis, final long timeoutMillis) {
    respond(responseMillis, 50);
    assertThat(timeout.current(), is(Duration.ofMillis(timeoutMillis)));
  }

  @Test
  void isLongestBeforeFirstResponse() {
    timeout.recordTimeout();
    assertThat(timeout.current(), is(MAX));
  }

  @Test
  void growsWithTimeoutsAndRecoversWithResponse() {
    respond(4, 50);
    timeout.recordTimeout();
    assertThat(timeout.current(), is(MIN.multipliedBy(2)));
    timeout.recordTimeout();
    timeout.recordTimeout();
    assertThat(timeout.current(), is(MAX));
    respond(4, 1);
    assertThat(timeout.current(), is(MIN));
  }

  @Test
  void allowsForServerThatBecomesSlow() {
    respond(4, 50);
    respond(200, 4);
    assertThat(timeout.current(), is(greaterThan(Duration.ofMillis(400))));
  }

  private void respond(final long millis, final int times) {
    for (int i = 0; i < times; i++) {
      timeout.recordResponse(Duration.ofMillis(millis));
    }
  }
}
