package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.model.job.TaskId;

/** Guards against tasks that the gate releases without telling why, or tells of while blocked. */
class GateReleaseTest {
  private static final long MILLI = 1_000_000L;
  private static final long LEASE = 100 * MILLI;
  private static final TaskId SHARED = TaskId.parse("00000000000000a1.0.0.0").orElseThrow();
  private static final TaskId OTHER = TaskId.parse("00000000000000a1.0.0.1").orElseThrow();

  private final List<String> released = new ArrayList<>();
  private final RecoveryGate gate = new RecoveryGate();

  @BeforeEach
  void record() {
    gate.reportTo(new Recorder());
  }

  @Test
  void taskOfTwoWorkersIsReleasedWithTheSecond() {
    gate.close(Map.of("w1", List.of(SHARED, OTHER), "w2", List.of(SHARED)), 0, LEASE);
    gate.resolved("w1", JobFixture.EVIDENCE, 7 * MILLI);
    assertThat(released, containsInAnyOrder(OTHER.text() + " w1 lease-expired 7"));
    released.clear();

    gate.expire(LEASE - 1);
    assertThat(released, is(empty()));
    gate.expire(LEASE);
    assertThat(released, containsInAnyOrder(SHARED.text() + " w2 gate-expired 100"));
  }

  /** The age is that of the last renewal that may have been executed. */
  @Test
  void prolongedLeaseIsAsOldAsItsRenewal() {
    gate.close(Map.of("w1", List.of(OTHER)), 0, LEASE);
    gate.prolong("w1", 3 * LEASE);
    gate.expire(3 * LEASE + 5 * MILLI);
    assertThat(released, containsInAnyOrder(OTHER.text() + " w1 gate-expired 105"));
  }

  @Test
  void workerThatBlocksNothingReleasesNothing() {
    gate.close(Map.of("w1", List.of()), 0, LEASE);
    gate.resolved("w1", JobFixture.EVIDENCE, 0);
    gate.resolved("w1", JobFixture.EVIDENCE, 0);
    gate.expire(LEASE);
    assertThat(released, is(empty()));
  }

  /** Records the released tasks as text. */
  private final class Recorder implements DropListener {
    @Override
    public void runDropped(final TaskRun run, final DropEvidence evidence, final long now) {}

    @Override
    public void taskReleased(
        final TaskId task, final String worker, final DropEvidence evidence, final long now) {
      released.add(
          String.join(
              " ",
              task.text(),
              worker,
              evidence.reason().text(),
              Long.toString(evidence.ageMillis(now))));
    }

    @Override
    public void endOfRepeatedTask(
        final WorkerState worker, final FinishedRun end, final Task task) {}
  }
}
