package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.lentilsail.policy.job.JobFixture.MILLI;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.step;

import org.junit.jupiter.api.Test;

/** Lets many jobs wait for the workers of one pool, all of which are in quarantine. */
class ManyWaitingJobsTest {
  private static final int JOBS = 60;

  /** Guards against jobs that wait for each other although all have reached the wait limit. */
  @Test
  void manyJobsReachTheLimitAtOnce() {
    final PoolSimulation pool =
        new PoolSimulation(
            2, run -> new PoolSimulation.Ending(100 * MILLI, RunOutcome.FAILED, false));
    pool.fixture.fleet.workers().forEach(worker -> worker.health().quarantine(0));
    for (int job = 0; job < JOBS; job++) {
      pool.fixture.submit("holds", 0, step(1, 100, 1));
    }
    pool.runUntil(20 * SECOND);
    assertThat(pool.longestJobWait, lessThan(3 * SECOND));
  }
}
