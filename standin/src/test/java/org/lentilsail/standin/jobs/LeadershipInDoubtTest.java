package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.model.job.JobState;

/**
 * Guards against second runs of tasks that a leader without a valid lease has taken for free. It
 * goes on judging workers while the store is away, and acts upon that when it leads again.
 */
class LeadershipInDoubtTest {
  private static final String LASTING_JOB = "1000000000000001";

  /** Job whose task ends while its worker is cut off. */
  private static final String SLOW_JOB = "00000000000000a1";

  private final SimulatedDeployment deployment =
      new SimulatedDeployment(task -> task.job().equals(SLOW_JOB) ? 5_000 : 0);

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  /** A worker is cut off around the start of an outage and reached again in or after it. */
  @ParameterizedTest
  @CsvSource({
    "false, -900, 2500, 4500",
    "false, -900, 2500, 9000",
    "false, -900, 8000, 4500",
    "false, -900, 8000, 9000",
    "false, 300, 4500, 4500",
    "false, 300, 4500, 9000",
    "false, 300, 5200, 4500",
    "false, 300, 5200, 9000",
    "false, 900, 4500, 4500",
    "false, 900, 4500, 9000",
    "false, 900, 8000, 4500",
    "false, 900, 8000, 9000",
    "true, -900, 2500, 4500",
    "true, -900, 2500, 9000",
    "true, -900, 8000, 4500",
    "true, -900, 8000, 9000",
    "true, 300, 4500, 4500",
    "true, 300, 4500, 9000",
    "true, 300, 5200, 4500",
    "true, 300, 5200, 9000",
    "true, 900, 4500, 4500",
    "true, 900, 4500, 9000",
    "true, 900, 8000, 4500",
    "true, 900, 8000, 9000"
  })
  void leaseThatExpiredInDoubtHasExpired(
      final boolean leasesPause,
      final int cutAtMillis,
      final int outageMillis,
      final int cutMillis) {
    final JobNode leader = start("d1").get(0);
    deployment.advance(Duration.ofMillis(2_000 + cutAtMillis));
    later(Duration.ofMillis(Math.max(0, -cutAtMillis)), () -> beginOutage("d1", leasesPause));
    later(Duration.ofMillis(Math.max(0, cutAtMillis)), () -> cut("d1", true));
    later(Duration.ofMillis(Math.max(0, cutAtMillis) + cutMillis), () -> cut("d1", false));
    later(
        Duration.ofMillis(outageMillis + Math.max(0, -cutAtMillis)),
        () -> endOutage("d1", leasesPause));
    deployment.advance(Duration.ofSeconds(20));
    assertAllWorkIsDone(leader);
  }

  /** The gate of a new leader opens in or after an outage that has begun after its claim. */
  @ParameterizedTest
  @CsvSource({
    "false, 300, 3400, 5300",
    "false, 300, 3400, 12000",
    "false, 300, 8000, 5300",
    "false, 300, 8000, 12000",
    "false, 2000, 3000, 5300",
    "false, 2000, 3000, 12000",
    "false, 3000, 8000, 5300",
    "false, 3000, 8000, 12000",
    "true, 300, 3400, 5300",
    "true, 300, 3400, 12000",
    "true, 300, 8000, 5300",
    "true, 300, 8000, 12000",
    "true, 2000, 3000, 5300",
    "true, 2000, 3000, 12000",
    "true, 3000, 8000, 5300",
    "true, 3000, 8000, 12000"
  })
  void gateThatOpenedInDoubtIsRight(
      final boolean leasesPause,
      final int outageAtMillis,
      final int outageMillis,
      final int cutMillis) {
    final JobNode second = start("d1", "d2").get(1);
    deployment.advance(Duration.ofSeconds(1));
    cut("d2", true);
    deployment.store.fault("d1", StoreFault.SILENT);
    deployment.advance(SimulatedDeployment.FAIL_OVER);
    later(Duration.ofMillis(outageAtMillis), () -> beginOutage("d2", leasesPause));
    later(Duration.ofMillis(cutMillis), () -> cut("d2", false));
    later(Duration.ofMillis(outageAtMillis + outageMillis), () -> endOutage("d2", leasesPause));
    deployment.advance(Duration.ofSeconds(22));
    assertAllWorkIsDone(second);
  }

  private List<JobNode> start(final String... daemons) {
    deployment.startWorker("w1");
    deployment.startMachineOf("w1");
    deployment.startMachineOf("w2");
    final List<JobNode> nodes = deployment.startNodes(daemons);
    deployment.submit(nodes.get(0), LASTING_JOB, SimulatedDeployment.step(1));
    deployment.submit(nodes.get(0), SLOW_JOB, SimulatedDeployment.step(2));
    deployment.startWorker("w2");
    return nodes;
  }

  private void later(final Duration delay, final Runnable action) {
    deployment.executor.schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void cut(final String daemon, final boolean cut) {
    deployment.workers.cut(daemon, "w1", cut);
  }

  private void beginOutage(final String daemon, final boolean leasesPause) {
    if (leasesPause) {
      deployment.store.pauseLeases();
    }
    deployment.store.fault(daemon, StoreFault.REFUSED);
  }

  private void endOutage(final String daemon, final boolean leasesPause) {
    if (leasesPause) {
      deployment.store.resumeLeases();
    }
    deployment.store.fault(daemon, StoreFault.NONE);
  }

  private void assertAllWorkIsDone(final JobNode leader) {
    assertThat(deployment.state(leader, SLOW_JOB), is(Optional.of(JobState.COMPLETED)));
    assertThat(deployment.workers.history().running(LASTING_JOB), is(1));
  }
}
