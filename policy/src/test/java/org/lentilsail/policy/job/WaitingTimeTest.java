package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.CORES;
import static org.lentilsail.policy.job.JobFixture.MILLI;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.longRunning;
import static org.lentilsail.policy.job.JobFixture.step;
import static org.lentilsail.policy.job.RunOutcome.DONE;
import static org.lentilsail.policy.job.RunOutcome.EXPIRED;
import static org.lentilsail.policy.job.RunOutcome.FAILED;
import static org.lentilsail.policy.job.RunOutcome.STOPPED;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.QueueSpec;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.policy.job.PoolSimulation.Ending;

/**
 * Guards against a job, or a long-running task, that has no run for 3 s although there is capacity
 * for it, because several waits of less than 3 s follow one another.
 */
class WaitingTimeTest {
  private static final int WORKERS = 8;
  private static final int ATTEMPTS = 4;
  private static final int SEEDS = 12;
  private static final long LIMIT_NANOS = 3 * SECOND;
  private static final double MAX_HOPELESS_SHARE = 0.06;
  private static final double MAX_STUCK_SHARE = 0.02;
  private static final double REJECTED_SHARE = 0.01;
  private static final double FAILED_SHARE = 0.01;
  private static final Ending REJECTED = new Ending(0, null, false);
  private static final Ending FAILS_AT_ONCE = new Ending(100 * MILLI, FAILED, false);
  private static final Ending SUCCEEDS = new Ending(500 * MILLI, DONE, false);
  private static final Ending NEVER_ENDS = new Ending(999 * SECOND, DONE, false);
  private static final Ending FAILS = new Ending(1_900 * MILLI, FAILED, false);

  /** Two jobs fail on all workers; the quarantine begins when the first has waited for 1.9 s. */
  @Test
  void quarantineAfterAvoidanceOfWorkersWithFailures() {
    final PoolSimulation pool =
        new PoolSimulation(WORKERS, run -> run.createdAt() < 100 * MILLI ? FAILS_AT_ONCE : FAILS);
    pool.fixture.submit("holds", 0, spread(WORKERS));
    pool.tick();
    pool.tick();
    pool.fixture.submit("holds", pool.now(), spread(WORKERS));
    pool.runUntil(12 * SECOND);
    assertThat(pool.longestJobWait, lessThan(LIMIT_NANOS));
  }

  /** The tasks of a job that can never be done take the only run of each worker on probation. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, WORKERS})
  void probationSlotsTakenByHopelessJob(final int workers) {
    final PoolSimulation pool =
        new PoolSimulation(
            workers, run -> run.task().step().spec().estimateMillis() == 1 ? FAILS : SUCCEEDS);
    useAttempts(pool, ATTEMPTS);
    pool.fixture.fleet.workers().forEach(worker -> worker.health().quarantine(0));
    pool.fixture.submit("holds", 0, step(workers, 1_000, 1));
    pool.fixture.submit("holds", 0, step(workers, 2_000, 1_000));
    pool.runUntil(20 * SECOND);
    assertThat(pool.longestJobWait, lessThan(LIMIT_NANOS));
  }

  /** A long-running task ends while batch runs use the probation of all workers. */
  @Test
  void longRunningTaskThatEndsDuringProbation() {
    final PoolSimulation pool =
        new PoolSimulation(
            WORKERS,
            run -> run.isLongRunning() ? new Ending(2_600 * MILLI, EXPIRED, false) : FAILS);
    useAttempts(pool, ATTEMPTS);
    pool.fixture.submit("holds", 0, longRunning(WORKERS / 2, 1, 1));
    pool.tick();
    pool.fixture.fleet.workers().forEach(worker -> worker.health().quarantine(0));
    pool.fixture.submit("holds", 0, step(WORKERS, 1_000, 1_000));
    pool.runUntil(20 * SECOND);
    assertThat(pool.longestTaskWait, lessThan(LIMIT_NANOS));
  }

  /** Guards against attempts used up on a faulty worker because the healthy ones are busy. */
  @Test
  void busyPoolDoesNotSendWaitingJobToFaultyWorker() {
    final JobFixture fixture = new PoolSimulation(WORKERS, run -> FAILS).fixture;
    fixture.fleet.worker("w0").health().quarantine(0);
    fixture.submit("holds", 0, step(WORKERS - 1, CORES, 9_000));
    assertThat(fixture.place(0), hasSize(WORKERS - 1));
    fixture.submit("holds", 0, step(1, 1_000, 1_000));
    assertThat(fixture.place(2_400 * MILLI), is(empty()));
  }

  /** Guards against a wait that begins anew because the start that should end it is rejected. */
  @Test
  void rejectedStartAfterQuarantine() {
    final Set<TaskRun> started = new HashSet<>();
    final PoolSimulation pool =
        new PoolSimulation(1, run -> started.add(run) && started.size() == 1 ? REJECTED : SUCCEEDS);
    pool.fixture.fleet.worker("w0").health().quarantine(0);
    pool.fixture.submit("holds", 0, step(1, 1_000, 1_000));
    pool.runUntil(1_500 * MILLI);
    pool.fixture.fleet.worker("w0").health().quarantine(pool.now());
    pool.runUntil(6 * SECOND);
    assertThat(pool.longestJobWait, lessThan(LIMIT_NANOS));
  }

  /** Guards against a wait that begins anew because an unanswered start had no effect. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void startThatNeverBeganDoesNotRestartWait(final boolean longRunning) {
    final JobFixture fixture = new PoolSimulation(1, run -> SUCCEEDS).fixture;
    final JobRun job =
        fixture.submit("holds", 0, longRunning ? longRunning(1, 1, 1) : step(1, 1_000, 1_000));
    final TaskRun run = fixture.scheduler.place(0).get(0).run();
    fixture.tracker.startUnconfirmed(run, SECOND);
    fixture.tracker.stop(run, "test");
    fixture.tracker.stopAccepted(run, SECOND);
    run.worker().health().quarantine(SECOND);
    fixture.tracker.applyReport(
        run.worker(), new WorkerReport(3_000, 1, List.of(), List.of()), 2 * SECOND, 2 * SECOND, 0);
    assertThat(job.activity().hasRuns(), is(false));
    assertThat(fixture.place(2 * SECOND), hasSize(1));
  }

  /** Guards against attempts used up on a faulty worker, the only one with room for a task. */
  @Test
  void jobWithRoomForOneTaskWaitsForHealthyWorkers() {
    final PoolSimulation pool =
        new PoolSimulation(
            WORKERS,
            run ->
                run.worker().id().equals("w0")
                    ? FAILS_AT_ONCE
                    : new Ending(run.task().step().spec().estimateMillis() * MILLI, DONE, false));
    useAttempts(pool, ATTEMPTS);
    pool.fixture.fleet.worker("w0").health().quarantine(0);
    pool.fixture.submit(
        "holds",
        0,
        StepSpecBuilder.tasks(WORKERS - 1)
            .demand(26_000, 1_000)
            .estimateMillis(9_000)
            .maxPerWorker(1)
            .build());
    pool.tick();
    final JobRun job = pool.fixture.submit("holds", 0, step(1, 40_000, 1_000));
    pool.runUntil(12 * SECOND);
    assertThat(job.state(), is(JobState.COMPLETED));
  }

  /** Guards against a gang on faulty workers beside a healthy one. */
  @Test
  void gangAtTheLimitPrefersHealthyWorkers() {
    final JobFixture fixture = new PoolSimulation(3, run -> SUCCEEDS).fixture;
    fixture.fleet.worker("w0").health().quarantine(2 * SECOND);
    fixture.fleet.worker("w1").health().quarantine(2 * SECOND);
    fixture.submit("holds", 0, StepSpecBuilder.tasks(2).gang().maxPerWorker(1).build());
    assertThat(
        fixture.place(2 * SECOND).stream().map(start -> start.run().worker().id()).toList(),
        hasItem("w2"));
  }

  /** Guards against a gang that never finds all its workers free of probation at once. */
  @Test
  void gangBesideHopelessJobOnProbation() {
    final PoolSimulation pool =
        new PoolSimulation(
            3, run -> run.task().step().spec().estimateMillis() == 1 ? FAILS : SUCCEEDS);
    useAttempts(pool, ATTEMPTS);
    pool.fixture.fleet.workers().forEach(worker -> worker.health().quarantine(0));
    pool.fixture.submit("holds", 0, step(9, 1_000, 1));
    pool.fixture.submit("holds", 0, JobFixture.gang(10));
    pool.runUntil(20 * SECOND);
    assertThat(pool.longestJobWait, lessThan(LIMIT_NANOS));
  }

  /** Guards against a long-running task that finds the pool full and its workers on probation. */
  @Test
  void longRunningTaskPreemptsOnProbation() {
    final PoolSimulation pool = new PoolSimulation(2, run -> NEVER_ENDS);
    pool.fixture.submit("holds", 0, step(2, CORES, 1_000));
    pool.tick();
    pool.fixture.fleet.workers().forEach(worker -> worker.health().quarantine(0));
    final JobRun job = pool.fixture.submit("holds", 0, longRunning(1, 1, 1));
    pool.runUntil(2_900 * MILLI);
    assertThat(job.activity().hasRuns(), is(true));
  }

  /** Guards against a long-running task that waits behind another one of its step. */
  @Test
  void longRunningTaskDoesNotWaitForOthersOfItsStep() {
    final JobFixture fixture = new PoolSimulation(2, run -> NEVER_ENDS).fixture;
    fixture.submit("holds", 0, longRunning(2, 1, 1));
    final List<RunCommand.Start> starts = fixture.place(0);
    fixture.fleet.workers().forEach(worker -> worker.health().quarantine(2 * SECOND));
    fixture.finish(starts.get(1).run(), EXPIRED, SECOND);
    fixture.finish(starts.get(0).run(), EXPIRED, 2 * SECOND);
    assertThat(fixture.place(3 * SECOND), hasSize(1));
  }

  /** Guards against a job that may use no worker since permits were only asked for healthy ones. */
  @Test
  void permitsAreAskedForBeforeWaitLimit() {
    final JobFixture fixture = new PoolSimulation(2, run -> SUCCEEDS).fixture;
    fixture.jobs.configuration(configuration(fixture, ATTEMPTS, true));
    fixture.fleet.workers().forEach(worker -> worker.health().quarantine(SECOND));
    fixture.submit("holds", 0, step(1, 1_000, 1_000));
    final AdvicePlanner advice = new AdvicePlanner(fixture.jobs, fixture.fleet);
    assertThat(advice.next(SECOND).isPresent(), is(false));
    assertThat(advice.next(1_900 * MILLI).isPresent(), is(true));
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3, WORKERS})
  void randomDays(final int workers) {
    for (int seed = 0; seed < SEEDS; seed++) {
      final PoolSimulation pool = randomDay(workers, seed);
      assertThat("job, seed " + seed, pool.longestJobWait, lessThan(LIMIT_NANOS));
      assertThat("long-running, seed " + seed, pool.longestTaskWait, lessThan(LIMIT_NANOS));
    }
  }

  /** Submits jobs for 20 s, with hopeless jobs, a faulty worker, stuck runs and rejected starts. */
  static PoolSimulation randomDay(final int workers, final int seed) {
    final Random random = new Random(seed);
    final Set<String> hopeless = new HashSet<>();
    final double stuck = MAX_STUCK_SHARE * random.nextDouble();
    final String faulty = "w" + random.nextInt(2 * workers);
    final PoolSimulation pool =
        new PoolSimulation(
            workers,
            run -> {
              final boolean fails =
                  hopeless.contains(run.task().id().job()) || run.worker().id().equals(faulty);
              return ending(random, run.isLongRunning(), fails, stuck);
            });
    useAttempts(pool, ATTEMPTS);
    pool.fixture.submit("holds", 0, longRunning(5, 1, 1));
    final int ticksPerJob = 5 + random.nextInt(36);
    final double hopelessShare = MAX_HOPELESS_SHARE * random.nextDouble();
    while (pool.now() < 30 * SECOND) {
      if (pool.now() < 20 * SECOND && random.nextInt(ticksPerJob) == 0) {
        final JobRun job = pool.fixture.submit("holds", pool.now(), randomSteps(random));
        if (random.nextDouble() < hopelessShare) {
          hopeless.add(job.id());
        }
      }
      pool.tick();
    }
    return pool;
  }

  private static Ending ending(
      final Random random, final boolean longRunning, final boolean fails, final double stuck) {
    final long after = (5 + random.nextInt(16)) * PoolSimulation.TICK_NANOS;
    if (random.nextDouble() < REJECTED_SHARE) {
      return REJECTED;
    }
    if (longRunning) {
      return new Ending(4 * after, random.nextBoolean() ? FAILED : EXPIRED, false);
    }
    if (random.nextDouble() < stuck) {
      return new Ending(after, STOPPED, true);
    }
    return new Ending(after, fails || random.nextDouble() < FAILED_SHARE ? FAILED : DONE, false);
  }

  private static StepSpec[] randomSteps(final Random random) {
    final StepSpec[] steps = new StepSpec[1 + random.nextInt(3)];
    for (int i = 0; i < steps.length; i++) {
      steps[i] =
          StepSpecBuilder.tasks(6 + random.nextInt(3))
              .demand(1_000 * (1 + random.nextInt(4)), 1_000)
              .estimateMillis(1_000)
              .maxPerWorker(random.nextInt(2))
              .after(i == 0 ? List.of() : List.of(i - 1))
              .build();
    }
    return steps;
  }

  private static void useAttempts(final PoolSimulation pool, final int attempts) {
    pool.fixture.jobs.configuration(configuration(pool.fixture, attempts, false));
  }

  private static JobConfiguration configuration(
      final JobFixture fixture, final int attempts, final boolean requiresAdvice) {
    final QueueSpec queue =
        new QueueSpec(
            "holds", "host", "/holds/", BOOKING, 0, attempts, 1.6, 600, requiresAdvice, false);
    return new JobConfiguration(
        2, List.of(queue), fixture.jobs.configuration().services(), 0, List.of());
  }

  private static StepSpec spread(final int count) {
    return StepSpecBuilder.tasks(count).estimateMillis(1_000).maxPerWorker(1).build();
  }
}
