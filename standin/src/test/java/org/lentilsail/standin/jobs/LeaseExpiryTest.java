package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.model.job.JobState;

/**
 * Guards against second runs of tasks whose worker holds a lease for longer than its leader knows.
 */
class LeaseExpiryTest {
  private static final String LASTING_JOB = "1000000000000001";
  private static final String LATER_JOB = "1000000000000002";

  /** Job whose task ends while its worker is cut off. */
  private static final String SHORT_JOB = "00000000000000a1";

  private final SimulatedDeployment deployment =
      new SimulatedDeployment(task -> task.job().equals(SHORT_JOB) ? 3_000 : 0);
  private JobNode first;

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  /**
   * A worker that has started again under its id executes starts before its leader knows. The clock
   * of the new incarnation begins anew, so its runs hold the longest lease that it grants, and the
   * clock of the earlier one does not show when that has expired.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 0, 5",
    "1, 100, 5",
    "1, 300, 5",
    "1, 500, 5",
    "1, 300, 50",
    "1, 300, 200",
    "0.98, 0, 5",
    "0.98, 100, 5",
    "0.98, 300, 5",
    "0.98, 500, 5",
    "0.98, 300, 50",
    "0.98, 300, 200"
  })
  void startOnUnseenIncarnationHoldsLongestLease(
      final double clockRate, final int millisToRestart, final int millisToCut) {
    start(clockRate);
    startOnUnseenIncarnation(LATER_JOB, millisToRestart, millisToCut);
    deployment.advance(Duration.ofSeconds(8));
    assertThat(deployment.workers.runs("w2"), is(3));
  }

  /** The same with runs that end in between, and a worker that can be reached again after that. */
  @ParameterizedTest
  @CsvSource({"0, 5", "100, 5", "300, 5", "500, 5", "300, 50", "300, 200"})
  void endOnUnseenIncarnationCounts(final int millisToRestart, final int millisToCut) {
    start(1);
    startOnUnseenIncarnation(SHORT_JOB, millisToRestart, millisToCut);
    deployment.advance(Duration.ofMillis(4_600));
    deployment.workers.cut("d1", "w1", false);
    deployment.advance(Duration.ofSeconds(2));
    assertThat(deployment.workers.history().starts(SHORT_JOB), is(2));
    assertThat(deployment.state(first, SHORT_JOB), is(Optional.of(JobState.COMPLETED)));
  }

  private void startOnUnseenIncarnation(
      final String job, final int millisToRestart, final int millisToCut) {
    deployment.advance(Duration.ofSeconds(5).plusMillis(millisToRestart));
    deployment.restartWorker("w1");
    deployment.submit(first, job, SimulatedDeployment.step(2));
    while (deployment.workers.history().starts(job) == 0) {
      deployment.advance(Duration.ofMillis(1));
    }
    deployment.advance(Duration.ofMillis(millisToCut));
    deployment.workers.cut("d1", "w1", true);
    deployment.startWorker("w2");
  }

  private void start(final double clockRate) {
    deployment.workers.clockRate(clockRate);
    deployment.startWorker("w1");
    deployment.startMachineOf("w1");
    deployment.startMachineOf("w2");
    first = deployment.startNodes("d1").get(0);
    deployment.submit(first, LASTING_JOB, SimulatedDeployment.step(1));
  }
}
