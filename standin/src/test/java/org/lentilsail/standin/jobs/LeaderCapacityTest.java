package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.standin.jobs.SimulatedDeployment.longRunning;
import static org.lentilsail.standin.jobs.SimulatedDeployment.step;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.jobs.SubmitOutcome;

/**
 * Guards against a leader on a VM with too little CPU while larger VMs are available: on a large
 * deployment, a daemon with 360 millicores did not finish loading the state within 12 s.
 */
class LeaderCapacityTest {
  private static final long SMALL_CPU_MILLIS = 360;
  private static final long LARGE_CPU_MILLIS = 1_500;
  private static final String JOB = "00000000000000a1";
  private static final String LONG_RUNNING_JOB = "10000000000000a1";

  /** Time until a daemon with more CPU makes a takeover offer, and for the takeover itself. */
  private static final Duration TAKEOVER = Duration.ofMillis(2_000);

  private final SimulatedDeployment deployment =
      new SimulatedDeployment(task -> task.job().startsWith("1") ? 0 : 300);

  @AfterEach
  void noTaskRanTwice() {
    assertThat(deployment.workers.history().violations(), is(empty()));
    deployment.close();
  }

  @Test
  void daemonWithMoreCpuTakesOverWithoutStoppingRuns() {
    deployment.startWorker("w1");
    deployment.startWorker("w2");
    final JobNode small = deployment.startNode("weak", SMALL_CPU_MILLIS);
    deployment.advance(Duration.ofMillis(500));
    assertThat(leader(), containsString("weak"));
    deployment.submit(small, LONG_RUNNING_JOB, longRunning(2));
    deployment.startNode("strong", LARGE_CPU_MILLIS);
    deployment.advance(TAKEOVER);
    assertThat(leader(), containsString("strong"));
    assertThat(deployment.submit(small, JOB, step(3)), is(SubmitOutcome.ACCEPTED));
    deployment.advance(Duration.ofSeconds(1));
    assertThat(deployment.workers.history().starts(JOB), is(3));
    assertThat(deployment.workers.history().starts(LONG_RUNNING_JOB), is(2));
  }

  @Test
  void daemonsWithLessCpuLetOthersClaimFirst() {
    final JobNode leader = deployment.startNode("strong-1", LARGE_CPU_MILLIS);
    deployment.advance(Duration.ofMillis(500));
    for (int i = 0; i < 8; i++) {
      deployment.startNode("weak-" + i, SMALL_CPU_MILLIS);
    }
    deployment.startNode("strong-2", LARGE_CPU_MILLIS);
    deployment.advance(Duration.ofMillis(500));
    leader.resign();
    deployment.advance(Duration.ofMillis(100));
    assertThat(leader(), containsString("strong-2"));
  }

  @Test
  void daemonWithLittleCpuLeadsWhenNoOtherIsLeft() {
    final JobNode large = deployment.startNode("strong", LARGE_CPU_MILLIS);
    deployment.advance(Duration.ofMillis(500));
    deployment.startNode("weak", SMALL_CPU_MILLIS);
    deployment.advance(Duration.ofMillis(500));
    large.resign();
    deployment.advance(Duration.ofMillis(500));
    assertThat(leader(), containsString("weak"));
  }

  private String leader() {
    return new String(
        deployment.store.get("lead/term").orElseThrow().value(), StandardCharsets.UTF_8);
  }
}
