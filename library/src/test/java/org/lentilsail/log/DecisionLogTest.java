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
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.time.ManualTimeSource;

/**
 * Guards against a log that grows without bound, against dropped lines that are not counted, and
 * against a flood of lines that displaces those which explain it.
 */
class DecisionLogTest {
  private static final int LINES_PER_SECOND = 400;
  private static final int MAX_WAITING = 2_000;
  private static final int FLOOD_SECONDS = 4;

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

  /**
   * A flood of lines about requests displaced the lines that tell why workers were taken for lost,
   * in the very seconds of an outage of the store.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "worker-silent",
        "worker-answers",
        "worker-unlisted",
        "worker-admitted",
        "worker-removed",
        "control-open",
        "lease-expired"
      })
  void floodOfOrdinaryLinesDoesNotDropChangesOfBelief(final String event) {
    try (DecisionLog log = open()) {
      for (int second = 0; second < FLOOD_SECONDS; second++) {
        flood(log, 3 * LINES_PER_SECOND);
        log.log(event, "second", second);
        time.advance(Duration.ofSeconds(1));
      }
    }
    for (int second = 0; second < FLOOD_SECONDS; second++) {
      assertThat(text(), containsString("event=" + event + " second=" + second));
    }
    assertThat(text(), containsString(" dropped=800"));
  }

  /** A writer that is stuck must not let lines about requests take the room of the others. */
  @Test
  void changesOfBeliefHaveRoomOfTheirOwn() {
    final CountDownLatch stuck = new CountDownLatch(1);
    final PrintStream slow =
        new PrintStream(out, true, StandardCharsets.UTF_8) {
          @Override
          public void println(final String line) {
            await(stuck);
            super.println(line);
          }
        };
    final DecisionLog log = new DecisionLog(time, slow);
    for (int second = 0; second < 2 * MAX_WAITING / LINES_PER_SECOND; second++) {
      flood(log, LINES_PER_SECOND);
      time.advance(Duration.ofSeconds(1));
    }
    log.log("worker-silent", "worker", "w1");
    stuck.countDown();
    log.close();
    assertThat(text(), containsString("event=worker-silent worker=w1 dropped="));
    assertThat(text().lines().count(), lessThanOrEqualTo(MAX_WAITING + 2L));
  }

  @ParameterizedTest
  @CsvSource({"ORDINARY, 400, dropped", "BELIEF, 1000, droppedBeliefs"})
  void eachKindHasItsOwnRateAndCount(final LineKind kind, final int rate, final String name) {
    try (DecisionLog log = open()) {
      for (int i = 0; i < rate + 5; i++) {
        log.log(kind, "event", "i", i);
      }
      time.advance(Duration.ofSeconds(1));
      log.log(kind, "next");
    }
    assertThat(text().lines().count(), is(rate + 1L));
    assertThat(text(), containsString("event=next " + name + "=5"));
  }

  private static void flood(final DecisionLog log, final int lines) {
    for (int i = 0; i < lines; i++) {
      log.log("request-answered", "i", i);
    }
  }

  private static void await(final CountDownLatch latch) {
    boolean interrupted = false;
    while (latch.getCount() > 0) {
      try {
        latch.await();
      } catch (final InterruptedException closing) {
        interrupted = true;
      }
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private DecisionLog open() {
    return new DecisionLog(time, new PrintStream(out, true, StandardCharsets.UTF_8));
  }

  private String text() {
    return out.toString(StandardCharsets.UTF_8);
  }
}
