package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.lentilsail.policy.job.ActiveRun;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropReason;
import org.lentilsail.policy.job.FinishedRun;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunOutcome;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.worker.CommandResult;

/**
 * Guards against tasks that start again without a line that tells what the leader had seen: the
 * cause could not be found from the logs of a deployment.
 */
class DroppedRunsTest {
  private static final String JOB = "00000000000000a1";
  private static final long FIRST_START = 1;
  private static final long SECOND_START = 2;

  /** How a session takes the run of its worker for ended. */
  private enum Loss {
    LEASE_EXPIRED("clock ") {
      @Override
      void happen(final SessionFixture fixture, final TaskRun run) {
        fixture.failPoll(CommandResult.UNKNOWN);
        fixture.advance(Duration.ofSeconds(8));
        fixture.tick();
      }
    },
    WORKER_GONE("poll: no reply") {
      @Override
      void happen(final SessionFixture fixture, final TaskRun run) {
        fixture.failPoll(CommandResult.GONE);
      }
    },
    RESTART_REGISTERED("start 2 after 1") {
      @Override
      void happen(final SessionFixture fixture, final TaskRun run) {
        fixture.restartWorker(SECOND_START);
      }
    },
    RESTART_REPORTED("start 2 after 1") {
      @Override
      void happen(final SessionFixture fixture, final TaskRun run) {
        fixture.reply(report(fixture, SECOND_START));
      }
    },
    NOT_REPORTED("complete report with 0 runs") {
      @Override
      void happen(final SessionFixture fixture, final TaskRun run) {
        fixture.session.poll();
        fixture.reply(report(fixture, FIRST_START));
      }
    };

    final String evidence;

    Loss(final String evidence) {
      this.evidence = evidence;
    }

    abstract void happen(SessionFixture fixture, TaskRun run);
  }

  private final SessionFixture fixture = new SessionFixture();
  private TaskRun run;

  @BeforeEach
  void assign() {
    run = fixture.startedRun(JOB);
    fixture.session.poll();
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  @ParameterizedTest
  @EnumSource
  void runAndItsFreedTaskAreLoggedWithReason(final Loss loss) {
    fixture.runTracker.startAccepted(run, fixture.time.nanos());
    fixture.reply(report(fixture, FIRST_START, active()));

    loss.happen(fixture, run);

    final String reason = loss.name().toLowerCase(Locale.ROOT).replace('_', '-');
    final List<String> dropped = fixture.closeAndReadLines("run-dropped");
    assertThat(dropped, hasSize(1));
    assertThat(
        dropped.get(0),
        containsString(
            "task=" + run.task().id().text() + " run=" + run.number() + " worker=w1 reason="));
    assertThat(dropped.get(0), containsString("reason=" + reason + " evidence=\"" + loss.evidence));
    assertThat(dropped.get(0), containsString(" ageMs="));
    final List<String> freed = fixture.closeAndReadLines("task-freed");
    assertThat(freed, hasSize(1));
    assertThat(
        freed.get(0),
        containsString("task=" + run.task().id().text() + " worker=w1 reason=" + reason));
    assertThat(fixture.counts("lentilsail_runs_dropped"), is(Map.of(reason, 1.0)));
    assertThat(fixture.counts("lentilsail_tasks_freed"), is(Map.of(reason, 1.0)));
  }

  @ParameterizedTest
  @CsvSource({
    "NO_ROOM, start-rejected, start: NO_ROOM",
    "OUTDATED, start-rejected, start: OUTDATED",
    "GONE, worker-gone, start: GONE"
  })
  void rejectedStartIsLoggedWithItsAnswer(
      final CommandResult answer, final String reason, final String evidence) {
    fixture.session.send(new RunCommand.Start(run));
    fixture.replyToCommand(answer, -1);

    assertThat(
        fixture.closeAndReadLines("run-dropped").get(0),
        containsString("reason=" + reason + " evidence=\"" + evidence));
  }

  @Test
  void startThatExpiredWithoutAnswerIsLogged() {
    fixture.session.send(new RunCommand.Start(run));
    fixture.replyToCommand(CommandResult.UNKNOWN, -1);
    fixture.advance(Duration.ofSeconds(3));
    fixture.session.poll();
    fixture.reply(report(fixture, FIRST_START));

    assertThat(
        fixture.closeAndReadLines("run-dropped").get(0), containsString("reason=start-expired"));
  }

  @Test
  void startThatWasNotSentIsLogged() {
    fixture.runTracker.stop(run, "its job was cancelled");
    fixture.session.send(new RunCommand.Start(run));

    assertThat(
        fixture.closeAndReadLines("run-dropped").get(0),
        containsString("reason=start-not-sent evidence=\"being stopped\""));
  }

  @Test
  void runWhoseEndWasReadHasNoLine() {
    fixture.runTracker.startAccepted(run, fixture.time.nanos());
    fixture.reply(endReport(run.number()));

    assertThat(fixture.closeAndReadLines("run-dropped"), is(empty()));
    assertThat(fixture.closeAndReadLines("task-freed"), is(empty()));
    assertThat(fixture.closeAndReadLines("duplicate-run"), is(empty()));
    assertThat(fixture.closeAndReadLines("late-end"), is(empty()));
  }

  /** A run that was taken for lost is done while its task runs again, or has run again. */
  @ParameterizedTest
  @CsvSource({"true, duplicate-run", "false, late-end"})
  void endOfRepeatedTaskIsLogged(final boolean otherRuns, final String event) {
    final long now = fixture.time.nanos();
    final int first = run.number();
    final DropEvidence evidence = new DropEvidence(DropReason.LEASE_EXPIRED, "", now);
    fixture.runTracker.workerLost(fixture.worker, evidence, now);
    final TaskRun second = fixture.runTracker.start(run.task(), fixture.worker, 0, now);
    if (!otherRuns) {
      fixture.runTracker.workerLost(fixture.worker, evidence, now);
    }
    fixture.reply(endReport(first));

    assertThat(
        fixture.closeAndReadLines(event).get(0),
        containsString(
            "task="
                + run.task().id().text()
                + " run="
                + first
                + " worker=w1 otherRun="
                + second.number()
                + " otherWorker=w1"));
    assertThat(fixture.counts("lentilsail_repeated_tasks"), is(Map.of(event, 1.0)));
  }

  private WorkerReport endReport(final int number) {
    return new WorkerReport(
        clock(fixture),
        FIRST_START,
        List.of(),
        List.of(new FinishedRun(1, run.task().id(), number, RunOutcome.DONE, "")));
  }

  private ActiveRun active() {
    return new ActiveRun(run.task().id(), run.number(), "", 100, 1_000);
  }

  private static WorkerReport report(
      final SessionFixture fixture, final long startTime, final ActiveRun... running) {
    return new WorkerReport(clock(fixture), startTime, List.of(running), List.of());
  }

  private static long clock(final SessionFixture fixture) {
    return 2_000 + fixture.time.nanos() / 1_000_000;
  }
}
