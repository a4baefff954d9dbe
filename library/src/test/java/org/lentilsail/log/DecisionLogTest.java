package org.lentilsail.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lentilsail.model.time.ManualTimeSource;

/**
 * Guards against a log that grows without bound, and against dropped lines that are not counted.
 */
class DecisionLogTest {
  private static final int LINES_PER_SECOND = 400;

  private final ManualTimeSource time = new ManualTimeSource(1_000);
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  @Test
  void writesNamesAndValuesAndQuotesSpaces() {
    try (DecisionLog log = open()) {
      log.log("job-submitted", "job", "a1", "reason", "two words");
    }
    assertThat(text(), containsString("at=1000 event=job-submitted job=a1 reason=\"two words\""));
  }

  @Test
  void dropsLinesOverTheRateAndStatesHowMany() {
    try (DecisionLog log = open()) {
      for (int i = 0; i < LINES_PER_SECOND + 25; i++) {
        log.log("event", "i", i);
      }
      assertThat(log.dropped(), is(25L));
      time.advance(Duration.ofSeconds(1));
      log.log("next");
    }
    assertThat(text(), containsString("event=next dropped=25"));
    final long lines = text().lines().count();
    assertThat(lines, greaterThan(1L));
    assertThat(lines, lessThanOrEqualTo(LINES_PER_SECOND + 1L));
  }

  private DecisionLog open() {
    return new DecisionLog(time, new PrintStream(out, true, StandardCharsets.UTF_8));
  }

  private String text() {
    return out.toString(StandardCharsets.UTF_8);
  }
}
