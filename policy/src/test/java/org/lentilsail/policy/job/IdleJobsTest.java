package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.CORES;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a job that waits without a sign of what keeps it from running. */
class IdleJobsTest {
  private final JobFixture fixture = new JobFixture();
  private final IdleJobs idleJobs = new IdleJobs(fixture.jobs, fixture.fleet);
  private final WorkerState worker = fixture.worker("w1", BOOKING);

  @ParameterizedTest
  @EnumSource(names = {"UNREACHABLE", "CORDONED", "SUSPENDED", "QUARANTINED", "FULL", "OTHER"})
  void namesWhatKeepsWorkerFromJob(final WorkerObstacle obstacle) {
    switch (obstacle) {
      case UNREACHABLE -> worker.contact().markUnresponsive(0);
      case CORDONED -> worker.cordoned(true);
      case SUSPENDED -> worker.suspendUntil(9 * SECOND);
      case QUARANTINED -> worker.health().quarantine(0);
      case FULL -> {
        fixture.submit("holds", 0, step(1, CORES, 9_000));
        fixture.place(0);
      }
      default -> {}
    }
    fixture.submit("holds", 0, step(1, 1_000, 500));
    final List<IdleJob> found = idleJobs.find(2 * SECOND);
    assertThat(found, hasSize(1));
    assertThat(found.get(0).idleNanos(), is(2 * SECOND));
    assertThat(found.get(0).workers(), is(Map.of(obstacle, 1)));
  }

  @Test
  void reportsNoJobWithRun() {
    fixture.submit("holds", 0, step(2, CORES, 9_000));
    assertThat(fixture.place(0), hasSize(1));
    assertThat(idleJobs.find(2 * SECOND), is(empty()));
  }
}
