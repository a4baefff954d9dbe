package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a task that is started again after it is done: a worker lists a limited number of
 * finished runs at a time, and a run beyond them counted as ended without an outcome (review/7).
 */
class IncompleteReportTest {
  private static final long REPORT = 3 * SECOND;

  /** What is known of the start of the run that the report lacks. */
  private enum Start {
    ACCEPTED,
    NOT_ANSWERED,
    EXPIRED;

    void reach(final RunTracker tracker, final TaskRun run) {
      run.startExpiry(1_100);
      if (this == ACCEPTED) {
        tracker.startAccepted(run, 0);
      } else {
        tracker.startUnconfirmed(run, this == EXPIRED ? REPORT : 0);
      }
    }
  }

  private final JobFixture fixture = new JobFixture();
  private WorkerState worker;
  private TaskRun listed;
  private TaskRun unlisted;

  @BeforeEach
  void assign() {
    fixture.submit("holds", 0, step(2, 1_000, 900));
    worker = fixture.worker("b0", BOOKING);
    final List<RunCommand.Start> starts = fixture.scheduler.place(0);
    listed = starts.get(0).run();
    unlisted = starts.get(1).run();
    fixture.tracker.startAccepted(listed, 0);
  }

  @ParameterizedTest
  @EnumSource
  void runThatIncompleteReportLacksIsNotRepeated(final Start start) {
    start.reach(fixture.tracker, unlisted);

    report(false, finished(1, listed));

    assertThat(fixture.scheduler.place(REPORT), is(empty()));
    assertThat(fixture.tracker.takeCommands(), is(empty()));
    assertThat(worker.isSafeToTerminate(), is(false));
  }

  @Test
  void runThatNextReportListsIsDone() {
    Start.ACCEPTED.reach(fixture.tracker, unlisted);
    report(false, finished(1, listed));
    report(true, finished(2, unlisted));

    assertThat(unlisted.task().isDone(), is(true));
    assertThat(fixture.scheduler.place(REPORT), is(empty()));
  }

  @Test
  void runThatCompleteReportLacksIsRepeated() {
    Start.ACCEPTED.reach(fixture.tracker, unlisted);
    report(false, finished(1, listed));
    report(true);

    assertThat(fixture.scheduler.place(REPORT), hasSize(1));
  }

  /** A new leader knows no run of the worker, whose other finished runs would be lost with it. */
  @Test
  void workerWithFurtherFinishedRunsIsNotSafeToTerminate() {
    final JobFixture next = new JobFixture();
    final WorkerState sameWorker = next.worker("b0", BOOKING);
    next.tracker.applyReport(
        sameWorker,
        new WorkerReport(4_000, 1, List.of(), List.of(finished(1, listed)), false),
        REPORT,
        REPORT,
        0);
    sameWorker.finishedRuns().markPersisted(1);

    assertThat(sameWorker.isSafeToTerminate(), is(false));
  }

  private void report(final boolean complete, final FinishedRun... finished) {
    fixture.tracker.applyReport(
        worker,
        new WorkerReport(4_000, 1, List.of(), List.of(finished), complete),
        REPORT,
        REPORT,
        0);
  }

  private static FinishedRun finished(final long sequence, final TaskRun run) {
    return new FinishedRun(sequence, run.task().id(), run.number(), RunOutcome.DONE, "");
  }
}
