package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.standin.jobs.SimulatedDeployment.step;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.model.job.JobState;

/**
 * Guards against tasks that run twice because another worker replies at an address: that shows the
 * end of the incarnation that had it, not that of a worker that has moved to another address.
 */
class AddressTakenOverTest {
  private static final String JOB = "00000000000000a1";

  private static final String LASTING_JOB = "1000000000000001";

  private SimulatedDeployment deployment;
  private JobNode second;

  @BeforeEach
  void start() {
    deployment = new SimulatedDeployment(task -> task.job().equals(JOB) ? 300 : 0);
    deployment.startWorker("w1");
    deployment.startMachineOf("w1");
    second = deployment.startNodes("d1", "d2").get(1);
    deployment.advance(Duration.ofSeconds(3));
  }

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  /**
   * Guards against a new leader that polls a worker at its address before a restart, because the
   * roster kept that one, while its entry is missing after an outage of the store.
   */
  @ParameterizedTest
  @CsvSource({"500, 0", "500, 1000", "3000, 500", "3000, 2000"})
  void newLeaderKnowsAddressOfRestartedWorkerWithoutEntry(
      final int startAfterMillis, final int entryBackAfterMillis) {
    deployment.moveWorker("w1");
    deployment.advance(Duration.ofMillis(startAfterMillis));
    deployment.submit(second, LASTING_JOB, step(1));
    deployment.advance(Duration.ofMillis(500));
    assertThat(deployment.workers.runs("w1"), is(1));
    deployment.startWorkerAtAddressOf("w1", "w2");
    deployment.advance(Duration.ofMillis(200));
    deployment.store.remove("servers/w1");
    deployment.isolate("d1");
    deployment.advance(SimulatedDeployment.FAIL_OVER.plusMillis(entryBackAfterMillis));
    deployment.writeEntry("w1");
    deployment.advance(Duration.ofSeconds(8));
    assertThat(deployment.workers.history().running(LASTING_JOB), is(1));
  }

  /** The tasks of a worker whose address is another's start elsewhere at once. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void tasksOfWorkerThatEndedStartElsewhere(final boolean newLeader) {
    deployment.submit(second, JOB, step(2));
    deployment.advance(Duration.ofMillis(100));
    deployment.workers.fail("w1");
    deployment.startWorkerAtAddressOf("w1", "w2");
    if (newLeader) {
      deployment.isolate("d1");
      deployment.advance(SimulatedDeployment.FAIL_OVER);
    }
    deployment.advance(Duration.ofSeconds(2));
    assertThat(deployment.state(second, JOB), is(Optional.of(JobState.COMPLETED)));
  }
}
