package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.Resources;

/**
 * Guards against an organisation with more running than its quota after a change of the leader: the
 * next leader does not know what runs on workers that it has not polled or cannot reach.
 */
class QuotaHandOverTest {
  private static final String ACME = "acme";

  /** Number of tasks of one core that fit under the quota. */
  private static final int QUOTA = 3;

  private static final String FIRST_JOB = "1000000000000001";
  private static final String SECOND_JOB = "1000000000000002";

  private final List<String> workers = new ArrayList<>();
  private SimulatedDeployment deployment;
  private JobNode first;

  @BeforeEach
  void start() {
    deployment = new SimulatedDeployment(task -> 0L);
    deployment.configureOrganisations(
        new Organisation(ACME, List.of(), 0, new Resources(QUOTA * 1_000L, 0, 0)));
    startWorker("w1");
    first = deployment.startNodes("d1", "d2").get(0);
  }

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  /**
   * The tasks of the first job run on w1, those of the second job could start on w2. Starts are
   * answered late, so that a loss of the leader after a few ms leaves their outcome unknown.
   */
  @ParameterizedTest
  @CsvSource({
    "false, false, 0, 500",
    "false, true, 0, 500",
    "true, false, 0, 500",
    "true, true, 0, 500",
    "false, false, 300, 100",
    "false, true, 300, 100",
    "true, true, 300, 100",
    "false, true, 300, 20",
    "true, true, 300, 20"
  })
  void usageStaysWithinQuota(
      final boolean planned, final boolean cut, final long startMillis, final long lossMillis) {
    deployment.workers.delayStarts(startMillis);
    deployment.submitFor(first, ACME, FIRST_JOB, SimulatedDeployment.step(QUOTA));
    advanceWithinQuota(lossMillis);
    deployment.workers.cut("d2", "w1", cut);
    startWorker("w2");
    deployment.submitFor(first, ACME, SECOND_JOB, SimulatedDeployment.step(QUOTA));
    if (planned) {
      first.resign();
    } else {
      deployment.isolate("d1");
    }
    advanceWithinQuota(12_000);
    assertThat(running(), is(QUOTA));
  }

  private void advanceWithinQuota(final long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += 5) {
      deployment.advance(Duration.ofMillis(5));
      assertThat(running(), is(lessThanOrEqualTo(QUOTA)));
    }
  }

  private void startWorker(final String id) {
    deployment.startMachineOf(id);
    deployment.startWorker(id);
    workers.add(id);
  }

  private int running() {
    return workers.stream().mapToInt(deployment.workers::runs).sum();
  }
}
