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
 * Guards against control on a VM that cannot carry it while stronger ones are there: on a grown
 * deployment a daemon with 0.36 of a core did not even finish to load within 12 s.
 */
class LeaderCapacityTest {
  private static final long WEAK = 360;
  private static final long STRONG = 1_500;
  private static final String JOB = "00000000000000a1";
  private static final String LASTING = "10000000000000a1";

  /** Time until a stronger daemon offers to take over, and the handing over. */
  private static final Duration OFFER = Duration.ofMillis(2_000);

  private final SimulatedDeployment deployment =
      new SimulatedDeployment(task -> task.job().startsWith("1") ? 0 : 300);

  @AfterEach
  void nothingRanTwice() {
    assertThat(deployment.workers.history().violations(), is(empty()));
    deployment.close();
  }

  @Test
  void strongerDaemonTakesControlOverWithoutStoppingWork() {
    deployment.startWorker("w1");
    deployment.startWorker("w2");
    final JobNode weak = deployment.startNode("weak", WEAK);
    deployment.advance(Duration.ofMillis(500));
    assertThat(holder(), containsString("weak"));
    deployment.submit(weak, LASTING, longRunning(2));
    deployment.startNode("strong", STRONG);
    deployment.advance(OFFER);
    assertThat(holder(), containsString("strong"));
    assertThat(deployment.submit(weak, JOB, step(3)), is(SubmitOutcome.ACCEPTED));
    deployment.advance(Duration.ofSeconds(1));
    assertThat(deployment.workers.history().starts(JOB), is(3));
    assertThat(deployment.workers.history().starts(LASTING), is(2));
  }

  @Test
  void weakerDaemonsLetStrongerOnesClaimFirst() {
    final JobNode holder = deployment.startNode("strong-1", STRONG);
    deployment.advance(Duration.ofMillis(500));
    for (int i = 0; i < 8; i++) {
      deployment.startNode("weak-" + i, WEAK);
    }
    deployment.startNode("strong-2", STRONG);
    deployment.advance(Duration.ofMillis(500));
    holder.resign();
    deployment.advance(Duration.ofMillis(100));
    assertThat(holder(), containsString("strong-2"));
  }

  @Test
  void weakDaemonHoldsControlWhenNoStrongerOneIsLeft() {
    final JobNode strong = deployment.startNode("strong", STRONG);
    deployment.advance(Duration.ofMillis(500));
    deployment.startNode("weak", WEAK);
    deployment.advance(Duration.ofMillis(500));
    strong.resign();
    deployment.advance(Duration.ofMillis(500));
    assertThat(holder(), containsString("weak"));
  }

  private String holder() {
    return new String(
        deployment.store.get("lead/term").orElseThrow().value(), StandardCharsets.UTF_8);
  }
}
