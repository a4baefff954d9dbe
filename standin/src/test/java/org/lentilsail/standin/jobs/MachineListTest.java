package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.model.job.MachineState;

/**
 * Guards against tasks that run twice since a list of machines lacks the machine of their worker:
 * lists are read in pages and are no snapshots, so a live worker that the leader could not reach
 * was taken for ended.
 */
class MachineListTest {
  private static final String JOB = "1000000000000001";

  /** Time in which the leader reads the list several times; the lease of a run lasts longer. */
  private static final Duration SEVERAL_LISTS = Duration.ofMillis(1_500);

  private static final Duration LEASE =
      Duration.ofMillis(SimulatedDeployment.MAX_LEASE_MILLIS + 500);

  private final SimulatedDeployment deployment = new SimulatedDeployment(task -> 0L);
  private List<JobNode> nodes;

  @BeforeEach
  void start() {
    deployment.startWorker("w1");
    deployment.startMachineOf("w1");
    nodes = deployment.startNodes("d1", "d2");
    deployment.submit(nodes.get(1), JOB, SimulatedDeployment.longRunning(1));
    deployment.advance(Duration.ofMillis(500));
    deployment.startWorker("w2");
    deployment.startMachineOf("w2");
    deployment.advance(Duration.ofMillis(500));
  }

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 300, 1_000})
  void workerThatListLacksKeepsItsRunsUntilItsLeaseExpires(final int missingAfterMillis) {
    deployment.workers.cut("d1", "w1", true);
    deployment.advance(Duration.ofMillis(missingAfterMillis));
    deployment.machines.omit("m-w1", true);
    deployment.advance(SEVERAL_LISTS);
    assertThat(deployment.workers.runs("w2"), is(0));

    deployment.advance(LEASE);
    assertThat(deployment.workers.runs("w1"), is(0));
    assertThat(deployment.workers.runs("w2"), is(1));
  }

  /** Also the list that a new leader reads first may lack the machine. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void newLeaderWaitsForLeaseOfWorkerThatListLacks(final boolean resigns) {
    deployment.machines.omit("m-w1", true);
    deployment.workers.cut("d2", "w1", true);
    if (resigns) {
      nodes.get(0).resign();
    } else {
      deployment.isolate("d1");
    }
    deployment.advance(SimulatedDeployment.FAIL_OVER.plus(SEVERAL_LISTS));
    assertThat(deployment.workers.runs("w2"), is(0));

    deployment.advance(LEASE);
    assertThat(deployment.workers.runs("w2"), is(1));
  }

  /** A row of the machine itself shows within one list that its worker has ended. */
  @ParameterizedTest
  @CsvSource({
    "booking, DOWN, ''",
    "booking, DOWN, w1",
    "booking, MOVING, ''",
    "booking, UPKEEP, ''",
    "booking, UP, w3",
    "spare, UP, ''"
  })
  void crashedWorkerIsFoundByRowOfItsMachine(
      final String pool, final MachineState state, final String worker) {
    deployment.workers.crash("w1");
    deployment.showMachineOf("w1", pool, state, worker);
    deployment.advance(SEVERAL_LISTS);
    assertThat(deployment.workers.runs("w2"), is(1));
  }

  /** The row may change before the leader notices that the worker does not answer. */
  @Test
  void crashedWorkerIsFoundWhenItsMachineHasItsNextWorkerAlready() {
    deployment.showMachineOf("w1", "booking", MachineState.UP, "w3");
    deployment.advance(Duration.ofMillis(600));
    deployment.workers.crash("w1");
    deployment.advance(SEVERAL_LISTS);
    assertThat(deployment.workers.runs("w2"), is(1));
  }

  /** The next leader has seen no list that shows the worker on its machine. */
  @ParameterizedTest
  @CsvSource({"DOWN, ''", "DOWN, w1", "UP, w3"})
  void newLeaderFindsWorkerThatCrashedBeforeItsFirstList(
      final MachineState state, final String worker) {
    deployment.workers.crash("w1");
    deployment.showMachineOf("w1", "booking", state, worker);
    deployment.isolate("d1");
    deployment.advance(SimulatedDeployment.FAIL_OVER.plus(SEVERAL_LISTS));
    assertThat(deployment.workers.runs("w2"), is(1));
  }

  /** A row without the id of a worker does not tell which one the machine has. */
  @Test
  void rowWithoutWorkerDoesNotEndRuns() {
    deployment.workers.cut("d1", "w1", true);
    deployment.showMachineOf("w1", "booking", MachineState.UP, "");
    deployment.advance(SEVERAL_LISTS);
    assertThat(deployment.workers.runs("w2"), is(0));
  }
}
