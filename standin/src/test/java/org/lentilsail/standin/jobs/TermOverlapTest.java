package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.model.job.JobState;

/**
 * Guards against tasks that run again beside or after their first run because the store has ended
 * the lease of a leader early: that leader renews the leases of runs for as long as it trusts its
 * own lease, and the next one counted the longest lease from its claim.
 */
class TermOverlapTest {
  private static final String LASTING_JOB = "1000000000000001";
  private static final String SLOW_JOB = "00000000000000a2";

  /** Time in which the next leader has counted the longest lease from its claim. */
  private static final long SLOW_TASK_MILLIS = 7_000;

  private final SimulatedDeployment deployment =
      new SimulatedDeployment(task -> task.job().equals(SLOW_JOB) ? SLOW_TASK_MILLIS : 0);
  private JobNode second;

  @AfterEach
  void close() {
    deployment.close();
  }

  @ParameterizedTest
  @CsvSource({
    "1, 0",
    "1, 100",
    "1, 200",
    "1, 300",
    "1, 500",
    "1, 700",
    "1, 900",
    "0.98, 0",
    "0.98, 100",
    "0.98, 200",
    "0.98, 300",
    "0.98, 500",
    "0.98, 700",
    "0.98, 900"
  })
  void taskWaitsForLeaseThatEarlierLeaderHasRenewed(final double clockRate, final int millis) {
    start(clockRate);
    deployment.submit(second, LASTING_JOB, SimulatedDeployment.step(1));
    deployment.advance(Duration.ofMillis(500 + millis));
    endLeaseEarly();
    deployment.advance(Duration.ofSeconds(9));
    assertThat(deployment.workers.history().violations(), is(empty()));
    assertThat(deployment.workers.runs("w2"), is(1));
  }

  @ParameterizedTest
  @CsvSource({
    "1, 0",
    "1, 100",
    "1, 200",
    "1, 300",
    "1, 500",
    "1, 700",
    "1, 900",
    "0.98, 0",
    "0.98, 100",
    "0.98, 200",
    "0.98, 300",
    "0.98, 500",
    "0.98, 700",
    "0.98, 900"
  })
  void taskThatEndsAfterTimeOfLongestLeaseIsNotRepeated(final double clockRate, final int millis) {
    start(clockRate);
    deployment.submit(second, SLOW_JOB, SimulatedDeployment.step(1));
    deployment.advance(Duration.ofMillis(500 + millis));
    endLeaseEarly();
    deployment.advance(Duration.ofMillis(SLOW_TASK_MILLIS - 500 - millis));
    deployment.workers.cut("d2", "w1", false);
    deployment.advance(Duration.ofMillis(SLOW_TASK_MILLIS + 3_000));
    assertThat(deployment.workers.history().violations(), is(empty()));
    assertThat(deployment.state(second, SLOW_JOB), is(Optional.of(JobState.COMPLETED)));
  }

  private void start(final double clockRate) {
    deployment.workers.clockRate(clockRate);
    deployment.startWorker("w1");
    deployment.startMachineOf("w1");
    second = deployment.startNodes("d1", "d2").get(1);
    deployment.workers.cut("d2", "w1", true);
  }

  /** Ends the lease of the leader in the store, which does not answer the leader any more. */
  private void endLeaseEarly() {
    deployment.startWorker("w2");
    final String holder =
        new String(deployment.store.get("lead/holder").get().value(), StandardCharsets.UTF_8);
    deployment.store.fault("d1", StoreFault.SILENT);
    deployment.store.revoke(Long.parseLong(holder.substring(holder.indexOf('/') + 1)));
  }
}
