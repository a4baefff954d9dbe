package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
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

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.job.JobConfiguration;
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
  private static final long LIMIT_NANOS = 3 * SECOND;
  private static final Ending FAILS_AT_ONCE = new Ending(100 * MILLI, FAILED, false);
  private static final Ending SUCCEEDS = new Ending(500 * MILLI, DONE, false);
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

  private static void useAttempts(final PoolSimulation pool, final int attempts) {
    final JobConfiguration current = pool.fixture.jobs.configuration();
    final QueueSpec queue =
        new QueueSpec("holds", "host", "/holds/", BOOKING, 0, attempts, 1.6, 600, false);
    pool.fixture.jobs.configuration(new JobConfiguration(2, List.of(queue), current.services(), 0));
  }

  private static StepSpec spread(final int count) {
    return StepSpecBuilder.tasks(count).estimateMillis(1_000).maxPerWorker(1).build();
  }
}
