package org.lentilsail.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a history that omits or misorders the log lines needed to diagnose a failed job.
 */
class HistoryCommandTest {
  private static final String ID = "00000000000000a1";

  @TempDir private Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @BeforeEach
  void writeLogs() throws IOException {
    Files.writeString(
        directory.resolve("d1"),
        "at=10000 event=control-claimed term=1\n"
            + "at=52000 event=task-start task="
            + ID
            + ".0.0.1 run=1 answer=DONE\n"
            + "at=52500 event=control-lost term=1\n"
            + "no decision\n");
    Files.writeString(
        directory.resolve("d2"),
        "12.5 d2 at=51000 event=job-submitted job="
            + ID
            + " outcome=ACCEPTED\n"
            + "at=51500 event=job-submitted job=00000000000000b2 outcome=ACCEPTED\n"
            + "at=54000 event=control-claimed term=2\n"
            + "at=58000 event=job-ended job="
            + ID
            + " state=COMPLETED\n");
  }

  @Test
  void printsLinesOfAllLogsInOrderWithLeadershipChanges() {
    assertThat(run("history", ID, file("d1"), file("d2")), is(0));
    assertThat(
        out.toString(StandardCharsets.UTF_8),
        is(
            "1970-01-01T00:00:51Z d2 event=job-submitted job=00000000000000a1 outcome=ACCEPTED\n"
                + "1970-01-01T00:00:52Z d1 event=task-start task=00000000000000a1.0.0.1 run=1"
                + " answer=DONE\n"
                + "1970-01-01T00:00:52.500Z d1 event=control-lost term=1\n"
                + "1970-01-01T00:00:54Z d2 event=control-claimed term=2\n"
                + "1970-01-01T00:00:58Z d2 event=job-ended job=00000000000000a1"
                + " state=COMPLETED\n"));
  }

  /**
   * The lines that tell why a task ran again name the task, whose id begins with that of its job.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "run-dropped task=%s.0.0.1 run=1 worker=w1 reason=lease-expired evidence=\"clock 9\""
            + " ageMs=4100",
        "task-freed task=%s.0.0.1 worker=w1 reason=gate-expired ageMs=6180",
        "duplicate-run task=%s.0.0.1 run=1 worker=w1 otherRun=2 otherWorker=w2",
        "late-end task=%s.0.0.1 run=1 worker=w1 otherRun=2 otherWorker=w2",
        "worker-removed worker=w1 reason=removed-from-roster evidence=\"no entry\" ageMs=0"
            + " unstored=%s.0.0.1",
        "job-accepted job=%s fromSnapshot=later progress=none ageMs=181000"
      })
  void printsWhyTaskRanAgainWithLeaderAroundIt(final String event) throws IOException {
    final String line = "event=" + event.formatted(ID);
    Files.writeString(
        directory.resolve("d3"),
        "at=80000 event=control-open term=3\n"
            + "at=81000 "
            + line
            + "\nat=81000 event=task-freed task=00000000000000b2.0.0.1 worker=w1\n"
            + "at=83000 event=lease-expired lease=7\n");
    assertThat(run("history", ID, file("d3")), is(0));
    assertThat(
        out.toString(StandardCharsets.UTF_8),
        is(
            "1970-01-01T00:01:20Z d3 event=control-open term=3\n1970-01-01T00:01:21Z d3 "
                + line
                + "\n1970-01-01T00:01:23Z d3 event=lease-expired lease=7\n"));
  }

  @ParameterizedTest
  @CsvSource({
    "ffffffffffffffff, d1, 3, name the logs of all daemons",
    "00000000000000a1, missing, 2, name a readable file"
  })
  void reportsRemedyWhenNothingIsFound(
      final String id, final String file, final int exit, final String remedy) {
    assertThat(run("history", id, file(file)), is(exit));
    assertThat(err.toString(StandardCharsets.UTF_8), containsString(remedy));
  }

  @Test
  void rejectsCallWithoutFiles() {
    assertThat(run("history", ID), is(2));
  }

  private String file(final String name) {
    return directory.resolve(name).toString();
  }

  private int run(final String... args) {
    return new CommandLine(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            () -> "mark",
            Optional.empty())
        .run(args);
  }
}
