package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.jobs.SubmitOutcome;
import org.lentilsail.model.job.JobState;

/** Guards against harm and delay around the hand-over from one leader to the next. */
class HandOverTest {
  private static final String JOB = "00000000000000a1";

  private static final String OTHER_JOB = "00000000000000a3";

  private static final String SHORT_JOB = "00000000000000a4";

  /** Job whose tasks take longer than a change of the leader. */
  private static final String SLOW_JOB = "00000000000000a2";

  /** Job whose tasks do not end within a test. */
  private static final String LASTING_JOB = "1000000000000001";

  private static final Map<String, Long> TASK_MILLIS =
      Map.of(JOB, 300L, OTHER_JOB, 300L, SHORT_JOB, 40L, SLOW_JOB, 1_500L, LASTING_JOB, 0L);

  private SimulatedDeployment deployment;
  private JobNode first;
  private JobNode second;

  @BeforeEach
  void start() {
    deployment = new SimulatedDeployment(task -> TASK_MILLIS.get(task.job()));
    deployment.startWorker("w1");
    final List<JobNode> nodes = deployment.startNodes("d1", "d2");
    first = nodes.get(0);
    second = nodes.get(1);
  }

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  /**
   * Guards against tasks that run again: a worker that was cut off lists only some of its finished
   * runs at a time, and its leader, or the next one, took the others for lost (review/7).
   */
  @ParameterizedTest
  @CsvSource({"1, false", "1, true", "2, false", "2, true", "3, true", "7, true"})
  void finishedRunsBeyondOneListAreNotRepeated(final int listLimit, final boolean newLeader) {
    deployment.workers.limitListedRuns(listLimit);
    deployment.startMachineOf("w1");
    deployment.submit(second, JOB, SimulatedDeployment.step(3));
    deployment.submit(second, OTHER_JOB, SimulatedDeployment.step(3));
    deployment.advance(Duration.ofMillis(100));
    deployment.workers.cut("d1", "w1", true);
    deployment.startWorker("w2");
    deployment.advance(Duration.ofMillis(600));
    if (newLeader) {
      deployment.isolate("d1");
      deployment.advance(SimulatedDeployment.FAIL_OVER);
    } else {
      deployment.workers.cut("d1", "w1", false);
    }
    deployment.advance(Duration.ofSeconds(8));
    assertThat(deployment.workers.history().starts(JOB), is(3));
    assertThat(deployment.workers.history().starts(OTHER_JOB), is(3));
    assertThat(deployment.state(second, OTHER_JOB), is(Optional.of(JobState.COMPLETED)));
  }

  /**
   * Guards against tasks that run again after the leader has changed, although their ends were
   * acknowledged: a worker had restarted under its id, the leader did not know it yet and repeated
   * its last acknowledgement, and the new incarnation discarded finished runs that nobody had
   * received (the TWICE on paseos-plata-grown looks like this).
   */
  @ParameterizedTest
  @CsvSource({
    "50, 1",
    "50, 100",
    "200, 200",
    "400, 1",
    "600, 1",
    "800, 1",
    "1000, 1",
    "1200, 1",
    "1400, 1",
    "1600, 1",
    "1500, 100",
    "1500, 500"
  })
  void acknowledgementOfEarlierIncarnationIsNotRepeated(
      final int leaderLostAfterMillis, final int entryAfterMillis) {
    deployment.startMachineOf("w1");
    deployment.submit(second, OTHER_JOB, SimulatedDeployment.step(6));
    deployment.advance(Duration.ofSeconds(2));
    deployment.restartWorker("w1");
    deployment.submit(second, SHORT_JOB, SimulatedDeployment.step(2));
    deployment.advance(Duration.ofMillis(leaderLostAfterMillis));
    deployment.isolate("d1");
    deployment.advance(Duration.ofMillis(entryAfterMillis));
    deployment.writeEntryOfRestart("w1");
    deployment.advance(SimulatedDeployment.FAIL_OVER.plusSeconds(3));
    assertThat(deployment.workers.history().starts(SHORT_JOB), is(2));
    assertThat(deployment.state(second, SHORT_JOB), is(Optional.of(JobState.COMPLETED)));
  }

  /**
   * A machine with a confirmed command is left alone until the lease on machines has ended. The
   * first new leader recorded it as unconfirmed, so the second one left it alone for 15 s, and
   * while daemons were stopped in turn most machines could not be used.
   */
  @Test
  void confirmedCommandBlocksMachineForOneLeaseAcrossTwoHandOvers() {
    deployment.startMachine("m0");
    deployment.startMachine("m1");
    deployment.store.put(
        "machine-orders",
        "{\"unanswered\":{},\"answered\":[\"m0\"]}".getBytes(StandardCharsets.UTF_8));
    first.resign();
    deployment.advance(Duration.ofMillis(500));
    deployment.startNode("d3");
    deployment.store.put("op/wave/1", "m1".getBytes(StandardCharsets.UTF_8));
    deployment.advance(Duration.ofMillis(800));
    assertThat(commandedMachines(), is(List.of("m1")));

    second.resign();
    deployment.advance(Duration.ofMillis(500));
    deployment.store.put("op/wave/2", "m0".getBytes(StandardCharsets.UTF_8));
    deployment.advance(Duration.ofSeconds(4));

    assertThat(commandedMachines(), is(List.of("m1", "m0")));
  }

  /**
   * A leader that was paused while the record of its command was written must not send the command
   * afterwards: the next leader may have sent one to the same machine.
   */
  @Test
  void leaderPausedBeforeSendingCommandDoesNotSendIt() {
    deployment.startMachine("m0");
    deployment.store.put("op/wave/1", "m0".getBytes(StandardCharsets.UTF_8));
    while (!machineCommandIsPersisted()) {
      deployment.advance(Duration.ofMillis(1));
    }
    assertThat(commandedMachines(), is(empty()));
    deployment.time.advance(Duration.ofSeconds(5));
    deployment.advance(Duration.ofMillis(10));
    assertThat(commandedMachines(), is(empty()));
  }

  @ParameterizedTest
  @EnumSource(names = {"REFUSED", "SILENT"})
  void releaseThatWasLostIsRepeated(final StoreFault fault) {
    deployment.store.fault("d1", fault);
    first.resign();
    deployment.advance(Duration.ofMillis(50));
    deployment.store.fault("d1", StoreFault.NONE);
    assertThat(
        deployment.submit(second, JOB, SimulatedDeployment.step(1)), is(SubmitOutcome.ACCEPTED));
    deployment.advance(Duration.ofMillis(500));
    assertThat(deployment.workers.history().starts(JOB), is(1));
  }

  /**
   * Guards against a second run beside the first one: a leader that loses the store renews the
   * leases of all runs to 6 s, and the next one reckoned only with the 4 s that it granted itself.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 100, 600, 1_500})
  void newLeaderWaitsForLeasesRenewedByEarlierLeader(final int millisBetweenTakeoverAndCut) {
    deployment.startMachineOf("w1");
    deployment.submit(first, LASTING_JOB, SimulatedDeployment.step(1));
    deployment.advance(Duration.ofMillis(200));
    deployment.startWorker("w2");
    deployment.store.fault("d1", StoreFault.SILENT);
    deployment.advance(SimulatedDeployment.FAIL_OVER);
    deployment.advance(Duration.ofMillis(millisBetweenTakeoverAndCut));
    deployment.workers.cut("d2", "w1", true);
    deployment.advance(Duration.ofSeconds(9));
    assertThat(deployment.workers.runs("w1"), is(0));
    assertThat(deployment.workers.runs("w2"), is(1));
  }

  /**
   * Guards against runs of a scheduled job that are repeated after a change of the leader: the next
   * leader received them before it had started their occurrence, took them for unknown ones, and
   * acknowledged or stopped them without effect.
   */
  @ParameterizedTest
  @CsvSource({
    JOB + ", false, 50",
    JOB + ", false, 290",
    JOB + ", false, 600",
    JOB + ", true, 290",
    SLOW_JOB + ", false, 50",
    SLOW_JOB + ", true, 50",
    SLOW_JOB + ", true, 1400"
  })
  void runsOfScheduledJobAreKnownToNewLeader(
      final String job, final boolean planned, final int millisAfterStart) {
    deployment.submitScheduled(first, job, Duration.ofSeconds(1), SimulatedDeployment.step(3));
    deployment.advance(Duration.ofMillis(1_100 + millisAfterStart));
    if (planned) {
      first.resign();
    } else {
      deployment.isolate("d1");
    }
    deployment.advance(Duration.ofSeconds(2));
    assertThat(deployment.workers.history().starts(job), is(3));
    assertThat(deployment.workers.history().done(), hasSize(3));
    deployment.advance(SimulatedDeployment.OCCURRENCE_INTERVAL);
    assertThat(deployment.workers.history().starts(job), is(6));
    assertThat(deployment.state(second, job), is(Optional.of(JobState.COMPLETED)));
  }

  private boolean machineCommandIsPersisted() {
    return deployment
        .store
        .get("machine-orders")
        .filter(item -> new String(item.value(), StandardCharsets.UTF_8).contains("m0"))
        .isPresent();
  }

  private List<String> commandedMachines() {
    return deployment.machines.commands().stream()
        .map(SimulatedMachines.RecordedCommand::machine)
        .toList();
  }
}
