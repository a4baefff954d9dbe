package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.MILLI;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.STARTER;
import static org.lentilsail.policy.job.JobFixture.longRunning;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.TaskId;

/**
 * Guards against starts in the wrong order or on the wrong worker, and against attempts wasted on
 * faulty workers.
 */
class SchedulerTest {
  private final JobFixture fixture = new JobFixture();

  @Test
  void doesNotStartStepBeforeItsDependencies() {
    fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, step(2, 1_000, 500), step(1, 1_000, 500, 0));
    final List<RunCommand.Start> starts = fixture.place(0);
    assertThat(starts, hasSize(2));
    fixture.finish(starts.get(0).run(), RunOutcome.DONE, SECOND);
    assertThat(fixture.place(SECOND), is(empty()));
    fixture.finish(starts.get(1).run(), RunOutcome.DONE, SECOND);
    assertThat(fixture.place(SECOND), hasSize(1));
  }

  @Test
  void usesOnlyWorkersOfTheService() {
    fixture.worker("w1", STARTER);
    fixture.submit("holds", 0, step(1, 1_000, 500));
    assertThat(fixture.place(0), is(empty()));
  }

  @Test
  void stoppingRunKeepsItsReservation() {
    fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, step(1, 40_000, 500));
    final TaskRun run = fixture.place(0).get(0).run();
    fixture.tracker.stop(run, "test");
    fixture.submit("holds", 0, step(1, 40_000, 500));
    assertThat(fixture.place(SECOND), is(empty()));
  }

  @Test
  void prefersSmallJobsAndDefersLateJobs() {
    fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, step(1, JobFixture.CORES, 100));
    final TaskRun blocker = fixture.place(0).get(0).run();
    final JobRun late = fixture.submit("holds", 0, step(1, 1_000, 10));
    final JobRun large = fixture.submit("holds", 5 * SECOND, step(4, 16_000, 1_000));
    final JobRun small = fixture.submit("holds", 5 * SECOND, step(1, 16_000, 1_000));
    final List<JobRun> order =
        fixture.scheduler.waiting(5 * SECOND).stream().map(rank -> rank.step().job()).toList();
    assertThat(order, is(List.of(small, large, late)));
    assertThat(blocker.phase(), is(RunPhase.RUNNING));
  }

  @Test
  void longRunningTasksComeFirst() {
    fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, step(1, 1_000, 100));
    final JobRun longRunning = fixture.submit("holds", 0, longRunning(1, 0, 1));
    assertThat(fixture.scheduler.waiting(0).get(0).step().job(), is(longRunning));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void respectsMaximumTasksPerWorker(final int limit) {
    fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, longRunning(5, limit, 1));
    assertThat(fixture.place(0), hasSize(limit));
  }

  @Test
  void secondAttemptGoesToAnotherWorker() {
    fixture.worker("w1", BOOKING);
    fixture.worker("w2", BOOKING);
    fixture.submit("holds", 0, step(1, 1_000, 500));
    final TaskRun first = fixture.place(0).get(0).run();
    fixture.finish(first, RunOutcome.FAILED, MILLI);
    final TaskRun second = fixture.place(MILLI).get(0).run();
    assertThat(second.worker(), is(not(first.worker())));
  }

  /**
   * Guards against a last attempt that is never started: each worker had a failed run since its
   * last success, and once the other jobs had ended no success could clear these marks.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 8})
  void lastAttemptStartsWithinThreeSecondsThoughAllWorkersHaveFailures(final int workers) {
    for (int i = 0; i < workers; i++) {
      fixture.worker("w" + i, BOOKING);
    }
    fixture.submit("holds", 0, step(workers, JobFixture.CORES, 500));
    fixture.place(0).forEach(start -> fixture.finish(start.run(), RunOutcome.FAILED, MILLI));
    assertThat(fixture.place(SECOND), is(empty()));
    assertThat(fixture.place(3 * SECOND), hasSize(workers));
  }

  @Test
  void jobFailsAfterMaximumAttempts() {
    fixture.worker("w1", BOOKING);
    fixture.worker("w2", BOOKING);
    final JobRun job = fixture.submit("holds", 0, step(1, 1_000, 500));
    fixture.finish(fixture.place(0).get(0).run(), RunOutcome.FAILED, MILLI);
    fixture.finish(fixture.place(MILLI).get(0).run(), RunOutcome.FAILED, 2 * MILLI);
    assertThat(job.state(), is(JobState.FAILED));
    assertThat(fixture.place(3 * MILLI), is(empty()));
  }

  @Test
  void workerWithFailuresOfSeveralJobsIsQuarantined() {
    fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, step(1, 1_000, 500));
    fixture.submit("holds", 0, step(1, 1_000, 500));
    fixture.place(0).forEach(start -> fixture.finish(start.run(), RunOutcome.FAILED, MILLI));
    fixture.submit("holds", 0, step(1, 1_000, 500));
    assertThat(fixture.place(2 * MILLI), is(empty()));
    assertThat(fixture.place(4 * SECOND), hasSize(1));
  }

  /**
   * Guards against a job without a run for 3 s: two jobs that could never be done had put all
   * workers of its pool in quarantine.
   */
  @Test
  void quarantineOfWholePoolEndsWithinThreeSeconds() {
    fixture.worker("w1", BOOKING);
    fixture.worker("w2", BOOKING);
    for (int job = 0; job < 2; job++) {
      fixture.submit("holds", 0, step(2, JobFixture.CORES, 500));
      fixture.place(0).forEach(start -> fixture.finish(start.run(), RunOutcome.FAILED, MILLI));
    }
    assertThat(fixture.place(2 * SECOND), is(empty()));
    assertThat(fixture.place(2_900 * MILLI), hasSize(2));
  }

  @Test
  void workerOnProbationWithLongRunningTaskGetsBatchTask() {
    fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, longRunning(1, 0, 1));
    fixture.place(0);
    fixture.fleet.worker("w1").health().quarantine(0);
    fixture.submit("holds", 0, step(2, 1_000, 500));
    assertThat(fixture.place(4 * SECOND), hasSize(1));
  }

  @Test
  void blocksTasksThatMayRunOnWorkerNotPolledYet() {
    fixture.worker("w1", BOOKING);
    final JobRun job = fixture.submit("holds", 0, step(3, 1_000, 500));
    final Task placed = job.steps().get(0).tasks().get(1);
    fixture.gate.close(Map.of("lost", List.of(placed.id())), SECOND, 6 * SECOND);
    assertThat(fixture.place(2 * SECOND), hasSize(2));
    assertThat(placed.isWaiting(), is(true));
    fixture.gate.expire(7 * SECOND);
    assertThat(fixture.place(7 * SECOND), hasSize(1));
  }

  @Test
  void taskWaitsForEachWorkerThatMayRunIt() {
    fixture.worker("w1", BOOKING);
    final JobRun job = fixture.submit("holds", 0, step(1, 1_000, 500));
    final TaskId task = job.steps().get(0).tasks().get(0).id();
    fixture.gate.close(Map.of("lost", List.of(task), "found", List.of(task)), SECOND, 6 * SECOND);
    fixture.gate.resolved("found", JobFixture.EVIDENCE, 0);
    assertThat(fixture.place(2 * SECOND), is(empty()));
    fixture.gate.resolved("lost", JobFixture.EVIDENCE, 0);
    assertThat(fixture.place(2 * SECOND), hasSize(1));
  }

  @Test
  void gangWaitsForAnyMemberThatMayRun() {
    fixture.worker("w1", BOOKING);
    final JobRun job = fixture.submit("holds", 0, JobFixture.gang(3));
    final TaskId member = job.steps().get(0).tasks().get(2).id();
    fixture.gate.close(Map.of("lost", List.of(member)), SECOND, 6 * SECOND);
    assertThat(fixture.place(2 * SECOND), is(empty()));
    fixture.gate.resolved("lost", JobFixture.EVIDENCE, 0);
    assertThat(fixture.place(2 * SECOND), hasSize(3));
  }

  @Test
  void unresolvedTasksIncludeUnpersistedFinishedRuns() {
    final WorkerState worker = fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, step(2, 1_000, 500));
    final List<RunCommand.Start> starts = fixture.place(0);
    fixture.finishWithoutPersisting(starts.get(0).run(), RunOutcome.DONE, SECOND);
    assertThat(worker.unresolvedTasks(), hasSize(2));
    worker.finishedRuns().markPersisted(worker.finishedRuns().lastReceived());
    assertThat(worker.unresolvedTasks(), is(Set.of(starts.get(1).run().task().id())));
  }

  @Test
  void startsCopyOfSlowTaskOfSpeculativeStep() {
    fixture.worker("w1", BOOKING);
    fixture.worker("w2", BOOKING);
    fixture.submit("holds", 0, JobFixture.speculative(3));
    final List<RunCommand.Start> starts = fixture.place(0);
    fixture.finish(starts.get(0).run(), RunOutcome.DONE, SECOND);
    fixture.finish(starts.get(1).run(), RunOutcome.DONE, SECOND);
    assertThat(fixture.place(SECOND * 3 / 2), is(empty()));
    assertThat(fixture.place(3 * SECOND), hasSize(1));
    assertThat(fixture.place(3 * SECOND), is(empty()));
  }

  /** Guards against copies of healthy long-running tasks, since others of their step have ended. */
  @Test
  void longRunningTaskGetsNoCopy() {
    fixture.worker("w1", BOOKING);
    fixture.worker("w2", BOOKING);
    fixture.submit("holds", 0, JobFixture.speculativeLongRunning(3));
    final List<RunCommand.Start> starts = fixture.place(0);
    fixture.finish(starts.get(0).run(), RunOutcome.DONE, SECOND);
    fixture.finish(starts.get(1).run(), RunOutcome.DONE, SECOND);
    assertThat(fixture.place(SECOND), hasSize(2));
    assertThat(fixture.place(3 * SECOND), is(empty()));
  }

  @Test
  void longRunningTaskPreemptsBatchRuns() {
    fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, step(4, 16_000, 9_000));
    fixture.place(0);
    fixture.submit("holds", 0, longRunning(1, 0, 1));
    fixture.place(SECOND / 2);
    assertThat(fixture.tracker.takeCommands(), is(empty()));
    fixture.place(2 * SECOND);
    assertThat(fixture.tracker.takeCommands(), hasSize(1));
  }

  @Test
  void detectsStuckRunAndQuarantinesItsWorker() {
    final WorkerState worker = fixture.worker("w1", BOOKING);
    fixture.submit("holds", 0, step(1, 1_000, 9_000));
    final TaskRun run = fixture.place(0).get(0).run();
    run.recordMeasurement(0, 100, SECOND / 2);
    assertThat(StuckRuns.find(worker, SECOND), is(empty()));
    run.recordMeasurement(0, 100, 2 * SECOND);
    assertThat(StuckRuns.find(worker, 2 * SECOND), is(List.of(run)));
    assertThat(worker.isSchedulable(2 * SECOND), is(false));
  }
}
