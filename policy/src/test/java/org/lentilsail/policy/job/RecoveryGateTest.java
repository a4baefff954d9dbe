package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lentilsail.model.job.TaskId;

/**
 * Guards against tasks that a new leader starts while a worker that it has polled still has a run
 * of them that it has not listed (found with review/7).
 */
class RecoveryGateTest {
  private static final long LEASE = 100;
  private static final TaskId TASK = TaskId.parse("00000000000000a1.0.0.0").orElseThrow();

  private final RecoveryGate gate = new RecoveryGate();

  @Test
  void renewedLeaseOfPartlyKnownWorkerKeepsItsTasksBlocked() {
    gate.close(Map.of("w1", List.of(TASK)), 0, LEASE);
    gate.prolong("w1", 2 * LEASE);

    gate.expire(LEASE);
    assertThat(gate.blocks(TASK), is(true));
    gate.expire(2 * LEASE);
    assertThat(gate.blocks(TASK), is(false));
  }

  @Test
  void workerThatIsKnownIsNotBlockedAgain() {
    gate.close(Map.of("w1", List.of(TASK)), 0, LEASE);
    gate.resolved("w1", JobFixture.EVIDENCE, 0);
    gate.prolong("w1", 2 * LEASE);

    assertThat(gate.blocks(TASK), is(false));
  }
}
