package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.step;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.StepProgress;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.job.TaskId;

/**
 * Guards against a leader that runs out of memory or is busy for longer than its lease because of
 * what callers have made large: every leader that read such a job ended, and no other job ran
 * (review/6).
 */
class LargeJobsTest {
  private static final int JOB_TASKS = 10_000;
  private static final int YEAR_OF_MINUTES = 525_600;
  private static final long MINUTE_MILLIS = 60_000;
  private static final Duration LEADER_LEASE = Duration.ofMillis(1_200);

  private final JobFixture fixture = new JobFixture();

  @Test
  void jobThatIsTooLargeIsSetAsideAndOthersRun() {
    final JobRun large = submit("a1", unscheduled(step(100_000, 500, 0), step(100_000, 500, 0)));
    fixture.worker("b0", BOOKING);
    fixture.submit("holds", 0, step(2, 1_000, 900));

    assertThat(large.isSetAside(), is(true));
    assertThat(large.steps(), hasSize(0));
    assertThat(fixture.scheduler.place(0), hasSize(2));
    final TaskId task = new TaskId(large.id(), 0, 1, 7);
    assertThat(fixture.jobs.taskOfRun(task, 0), is(nullValue()));
    assertThat(fixture.jobs.cancel(large.id(), 0), is(large));
  }

  /** Jobs within the limits that are too many at once wait, in the order of their acceptance. */
  @Test
  void jobsBeyondTheTasksThatFitWaitForTheirTurn() {
    final int fitting = TaskBudget.MAX_TASKS / JOB_TASKS;
    for (int i = 0; i < fitting + 3; i++) {
      submit("a" + i, unscheduled(step(JOB_TASKS, 1_000, 900)));
    }
    fixture.jobs.startDueOccurrences(0, 0);
    assertThat(startedJobs(), is((long) fitting));

    fixture.jobs.cancel(id("a0"), 0);
    fixture.jobs.startDueOccurrences(0, SECOND);

    assertThat(startedJobs(), is((long) fitting));
    assertThat(fixture.jobs.job(id("a" + fitting)).steps(), hasSize(1));
    assertThat(fixture.jobs.job(id("a" + (fitting + 1))).steps(), hasSize(0));
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "1, 600", "3, 20", "40, 3", "1, 10000"})
  void scheduleThatBeganLongAgoStartsFewOccurrencesAtOnce(final int steps, final int tasks) {
    final JobRun job = submit("a1", schedule(steps, tasks));
    fixture.jobs.startDueOccurrences(YEAR_OF_MINUTES * MINUTE_MILLIS, 0);

    final int started = job.steps().size();
    assertThat(started, greaterThan(0));
    assertThat(started, lessThanOrEqualTo(2_000));
    assertThat((long) started * tasks, lessThanOrEqualTo((long) JOB_TASKS));
  }

  @Test
  void occurrencesThatAreDoneMakeRoomForLaterOnes() {
    final JobRun job = submit("a1", schedule(1, 1));
    fixture.worker("b0", BOOKING);
    int done = 0;
    for (int round = 0; round < 40; round++) {
      fixture.jobs.startDueOccurrences(YEAR_OF_MINUTES * MINUTE_MILLIS, round * SECOND);
      for (final RunCommand.Start start : fixture.place(round * SECOND)) {
        fixture.finish(start.run(), RunOutcome.DONE, round * SECOND);
        done++;
      }
    }
    fixture.jobs.startDueOccurrences(YEAR_OF_MINUTES * MINUTE_MILLIS, 40 * SECOND);

    assertThat(done, greaterThan(1_000));
    assertThat(job.progress().droppedOccurrences(), is(done));
    assertThat(job.progress().steps(), hasSize(0));
    assertThat(job.steps().get(0).occurrence(), is(done));
  }

  @Test
  void nextLeaderDoesNotRepeatOccurrencesThatWereDropped() {
    final JobRun job = submit("a1", schedule(1, 2));
    final StepProgress second = new StepProgress(31, 0, new long[] {3}, Map.of(), null, Map.of());
    fixture.jobs.restore(
        job.id(), new JobProgress(JobState.RUNNING, 0, List.of(second), "", 30), 0);
    fixture.jobs.startDueOccurrences(33 * MINUTE_MILLIS, 0);

    assertThat(
        job.steps().stream().filter(step -> !step.isDone()).map(StepRun::occurrence).toList(),
        is(List.of(30, 32, 33)));
    assertThat(fixture.jobs.taskOfRun(new TaskId(job.id(), 29, 0, 0), 0), is(nullValue()));
  }

  @Test
  void jobWhoseOccurrencesWereDroppedCompletes() {
    final JobRun job = submit("a1", new JobSpec(id("a1"), "w", List.of(step(1, 1, 1)), 32, 0, 1));
    fixture.jobs.restore(job.id(), new JobProgress(JobState.RUNNING, 0, List.of(), "", 31), 0);
    fixture.worker("b0", BOOKING);
    fixture.jobs.startDueOccurrences(MINUTE_MILLIS, 0);

    fixture.place(0).forEach(start -> fixture.finish(start.run(), RunOutcome.DONE, SECOND));

    assertThat(job.state(), is(JobState.COMPLETED));
  }

  /** A stop takes a while, and what is being stopped still occupies its worker. */
  @Test
  void occurrenceWithRunThatIsBeingStoppedIsNotDropped() {
    final JobRun job = submit("a1", schedule(1, 1));
    final WorkerState worker = fixture.worker("b0", BOOKING);
    fixture.jobs.startDueOccurrences(0, 0);
    final Task task = job.steps().get(0).tasks().get(0);
    fixture.place(0);
    final TaskRun copy = fixture.tracker.start(task, worker, 0, 0);
    fixture.finish(task.runs().get(0), RunOutcome.DONE, SECOND);
    fixture.jobs.startDueOccurrences(0, SECOND);
    assertThat(job.progress().droppedOccurrences(), is(0));

    fixture.tracker.drop(copy, SECOND);
    fixture.jobs.startDueOccurrences(0, SECOND);
    assertThat(job.progress().droppedOccurrences(), is(1));
  }

  @Test
  void runOfFarOccurrenceStartsOnlyThatOne() {
    final JobRun job = submit("a1", schedule(1, 1));

    final Task task = fixture.jobs.taskOfRun(new TaskId(job.id(), 400_000, 0, 0), 0);

    assertThat(task.step().occurrence(), is(400_000));
    assertThat(job.steps(), hasSize(1));
  }

  @Test
  void endedJobKeepsNeitherTasksNorText() {
    final JobRun job = fixture.submit("holds", 0, step(3, 1_000, 900));
    fixture.worker("b0", BOOKING);
    final TaskId task = job.steps().get(0).tasks().get(0).id();
    fixture.place(0).forEach(start -> fixture.finish(start.run(), RunOutcome.DONE, SECOND));
    fixture.jobs.startDueOccurrences(0, SECOND);

    assertThat(job.state(), is(JobState.COMPLETED));
    assertThat(job.steps(), hasSize(0));
    assertThat(job.submitted().spec().text(), is(""));
    // Its state may not be persisted yet, and its finished runs are acknowledged after that.
    final FinishedRun repeated = new FinishedRun(9, task, 1, RunOutcome.DONE, "");
    assertThat(
        fixture.tracker.applyReport(
            fixture.fleet.worker("b0"),
            new WorkerReport(9_000, 1, List.of(), List.of(repeated)),
            SECOND,
            SECOND,
            0),
        is(true));
  }

  @Test
  void endedJobWithRunsKeepsItsTasks() {
    final JobRun job = fixture.submit("holds", 0, step(1, 1_000, 900));
    fixture.worker("b0", BOOKING);
    final TaskRun run = fixture.place(0).get(0).run();
    fixture.jobs.cancel(job.id(), 0);
    fixture.jobs.startDueOccurrences(0, SECOND);
    assertThat(job.steps(), hasSize(1));

    fixture.tracker.drop(run, SECOND);
    fixture.jobs.startDueOccurrences(0, SECOND);
    assertThat(job.steps(), hasSize(0));
  }

  @Test
  void tasksWithoutDemandDoNotAllGoToOneWorker() {
    final StepSpec step = StepSpecBuilder.tasks(JOB_TASKS).demand(0, 0).build();
    submit("a1", unscheduled(step));
    final WorkerState worker = fixture.worker("b0", BOOKING);

    fixture.scheduler.place(0);

    assertThat(worker.runs().size(), is(WorkerState.MAX_RUNS));
  }

  /** No pass may take the control thread for longer than the lease of the leader. */
  @Test
  void passAtTheLimitsIsShorterThanTheLeaderLease() {
    for (int i = 0; i < 8; i++) {
      submit("a" + i, unscheduled(step(JOB_TASKS, 1_000, 900)));
    }
    for (int i = 0; i < 50; i++) {
      submit("b" + i, schedule(1, 1));
    }
    for (int i = 0; i < 250; i++) {
      fixture.worker("w" + i, BOOKING);
    }
    final long startedAt = System.nanoTime();
    fixture.jobs.startDueOccurrences(YEAR_OF_MINUTES * MINUTE_MILLIS, 0);
    fixture.scheduler.place(0);

    assertThat(
        Duration.ofNanos(System.nanoTime() - startedAt).toMillis(),
        lessThan(LEADER_LEASE.toMillis()));
  }

  @ParameterizedTest
  @CsvSource({"0, 0, true", "1, 59999, false", "1, 60000, true", "525599, 60000, false"})
  void occurrenceIsDueAtItsTime(final int occurrence, final long wallMillis, final boolean due) {
    assertThat(schedule(1, 1).isDue(occurrence, wallMillis), is(due));
  }

  /** The due time of a late occurrence is beyond the range of a number. */
  @Test
  void occurrenceOfLongIntervalIsNotDueEarly() {
    final JobSpec spec =
        new JobSpec(id("a1"), "w", List.of(step(1, 1, 1)), YEAR_OF_MINUTES, 0, 1L << 52);
    assertThat(spec.isDue(YEAR_OF_MINUTES - 1, MINUTE_MILLIS), is(false));
  }

  private long startedJobs() {
    return fixture.jobs.active().stream().filter(job -> !job.steps().isEmpty()).count();
  }

  private static JobSpec unscheduled(final StepSpec... steps) {
    return new JobSpec("", "work", List.of(steps), 0, 0, 0);
  }

  private static JobSpec schedule(final int steps, final int tasks) {
    return new JobSpec(
        "",
        "work",
        Collections.nCopies(steps, step(tasks, 1_000, 900)),
        YEAR_OF_MINUTES,
        0,
        MINUTE_MILLIS);
  }

  private JobRun submit(final String suffix, final JobSpec spec) {
    final JobSpec named =
        new JobSpec(
            id(suffix),
            spec.text(),
            spec.steps(),
            spec.maxRuns(),
            spec.firstRunMillis(),
            spec.intervalMillis());
    return fixture.jobs.accept(
        new SubmittedJob(
            "holds", BOOKING, 0, named, fixture.jobs.configuration().queue("holds").get(), ""),
        0,
        0);
  }

  private static String id(final String suffix) {
    return "0".repeat(16 - suffix.length()) + suffix;
  }
}
