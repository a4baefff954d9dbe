package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.StepProgress;
import org.lentilsail.model.job.TaskId;

/**
 * Guards against finished runs with a wrong effect. One that had failed was counted twice: its
 * worker reports it until it is acknowledged, so a leader that takes over between persisting and
 * acknowledging receives it again; the job was then failed one attempt early (hunted day of
 * paseos-plata, seed 928110848070).
 */
class RunTrackerTest {
  private static final int FIRST_RUN = 1;
  private static final int SECOND_RUN = 2;

  /** When the first leader stops, relative to the finished run that it received. */
  private enum Interruption {
    BEFORE_PERSISTING,
    BEFORE_ACKNOWLEDGEMENT
  }

  private final JobFixture first = new JobFixture();
  private final JobFixture second = new JobFixture();

  @ParameterizedTest
  @EnumSource
  void failedRunCountsOnceAcrossLeaders(final Interruption interruption) {
    final JobRun job = first.submit("holds", 0, step(1, 1_000, 900));
    first.worker("b0", BOOKING);
    final JobProgress before = job.progress();
    first.place(0);
    failFirstRun(first, job);
    final JobProgress persisted =
        interruption == Interruption.BEFORE_PERSISTING ? before : job.progress();

    final JobRun restored = takeOver(persisted);
    failFirstRun(second, restored);

    assertThat(failures(restored), is(1));
    assertThat(restored.state(), is(JobState.RUNNING));
  }

  @Test
  void failureOfAnotherRunCounts() {
    final JobRun job = first.submit("holds", 0, step(1, 1_000, 900));
    first.worker("b0", BOOKING);
    first.place(0);
    failFirstRun(first, job);

    final JobRun restored = takeOver(job.progress());
    failFirstRun(second, restored);
    fail(second, restored, SECOND_RUN);

    assertThat(restored.state(), is(JobState.FAILED));
  }

  @Test
  void countPersistedByEarlierVersionIsKept() {
    first.submit("holds", 0, step(1, 1_000, 900));
    final StepProgress earlier = new StepProgress(0, 0, new long[0], Map.of(0, 1), null, Map.of());

    final JobRun restored = takeOver(new JobProgress(JobState.RUNNING, 0, List.of(earlier), "", 0));

    assertThat(failures(restored), is(1));
    fail(second, restored, SECOND_RUN);
    assertThat(restored.state(), is(JobState.FAILED));
  }

  /** Guards against more attempts than a removed queue allowed, after a change of the leader. */
  @Test
  void attemptsOfRemovedQueueAreKnownToNewLeader() {
    final JobRun job = first.submit("holds", 0, step(1, 1_000, 900));
    second.jobs.configuration(new JobConfiguration(2, List.of(), List.of(), 0, List.of()));
    second.worker("b0", BOOKING);

    final JobRun restored = second.jobs.accept(job.submitted(), 0, 0);
    fail(second, restored, FIRST_RUN);
    fail(second, restored, SECOND_RUN);

    assertThat(restored.state(), is(JobState.FAILED));
  }

  /**
   * Guards against a long-running task that is not started again after it has ended by itself
   * without an error: it counted as done, and its job as completed.
   */
  @ParameterizedTest
  @EnumSource(names = {"DONE", "FAILED", "EXPIRED"})
  void longRunningTaskIsStartedAgainHoweverItEnds(final RunOutcome outcome) {
    final JobRun job = first.submit("holds", 0, JobFixture.longRunning(2, 0, 1));
    first.worker("b0", BOOKING);
    final List<RunCommand.Start> starts = first.place(0);

    starts.forEach(start -> first.finish(start.run(), outcome, SECOND));

    assertThat(job.state(), is(JobState.RUNNING));
    assertThat(first.place(SECOND), hasSize(2));
  }

  @Test
  void longRunningTaskThatEarlierVersionPersistedAsDoneIsStartedAgain() {
    final JobRun job = second.submit("holds", 0, JobFixture.longRunning(1, 0, 1));
    second.worker("b0", BOOKING);
    final StepProgress earlier =
        new StepProgress(0, 0, new long[] {1}, Map.of(), Map.of(), Map.of());

    second.jobs.restore(job.id(), new JobProgress(JobState.RUNNING, 0, List.of(earlier), "", 0), 0);

    assertThat(second.place(0), hasSize(1));
  }

  /**
   * Guards against the loss of the work of a gang: a member of an earlier run was cut off, and its
   * late report stopped the present run of the gang.
   */
  @ParameterizedTest
  @EnumSource(names = {"BROKEN", "EXPIRED", "FAILED"})
  void lateEndOfEarlierRunDoesNotStopGang(final RunOutcome outcome) {
    final JobRun job = first.submit("holds", 0, JobFixture.gang(2));
    final WorkerState lost = first.worker("b0", BOOKING);
    first.place(0);
    first.tracker.workerLost(lost, JobFixture.EVIDENCE, SECOND);
    first.tracker.takeCommands();
    first.worker("b1", BOOKING);
    lost.contact().markUnresponsive(0);
    assertThat(first.place(2 * SECOND), hasSize(2));

    final TaskId member = job.steps().get(0).tasks().get(0).id();
    final FinishedRun late = new FinishedRun(1, member, FIRST_RUN, outcome, "");
    first.tracker.applyReport(
        lost, new WorkerReport(3_000, 1, List.of(), List.of(late)), 3 * SECOND, 3 * SECOND, 0);

    assertThat(first.tracker.takeCommands(), hasSize(0));
  }

  private JobRun takeOver(final JobProgress persisted) {
    final JobRun job = second.submit("holds", 0, step(1, 1_000, 900));
    second.worker("b0", BOOKING);
    second.jobs.restore(job.id(), persisted, 0);
    return job;
  }

  private static int failures(final JobRun job) {
    return job.steps().get(0).tasks().get(0).failures();
  }

  private static void failFirstRun(final JobFixture fixture, final JobRun job) {
    fail(fixture, job, FIRST_RUN);
  }

  private static void fail(final JobFixture fixture, final JobRun job, final int run) {
    final WorkerState worker = fixture.fleet.worker("b0");
    final Task task = job.steps().get(0).tasks().get(0);
    final long sequence = worker.finishedRuns().lastReceived() + 1;
    fixture.tracker.applyReport(
        worker,
        new WorkerReport(
            1_000,
            1,
            List.of(),
            List.of(new FinishedRun(sequence, task.id(), run, RunOutcome.FAILED, ""))),
        SECOND,
        SECOND,
        0);
  }
}
