package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.standin.jobs.SimulatedDeployment.ADVISED_QUEUE;
import static org.lentilsail.standin.jobs.SimulatedDeployment.step;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.jobs.JobNode;

/**
 * Guards against starts without a permit in a queue whose policy requires one, and against repeated
 * requests to the advice service for workers that it has rejected.
 */
class AdviceTest {
  private static final String JOB = "00000000000000a1";

  private final SimulatedDeployment deployment = new SimulatedDeployment(task -> 300);
  private JobNode node;

  @BeforeEach
  void start() {
    deployment.startWorker("w1");
    deployment.startWorker("w2");
    node = deployment.startNode("d1");
    deployment.advance(Duration.ofMillis(500));
  }

  @AfterEach
  void noTaskRanTwice() {
    assertThat(deployment.workers.history().violations(), is(empty()));
    deployment.close();
  }

  @Test
  void startsOnlyOnWorkersWithPermit() {
    deployment.permits.put("w2", "permit");
    deployment.submit(node, ADVISED_QUEUE, JOB, step(3));
    deployment.advance(Duration.ofMillis(100));
    assertThat(deployment.workers.runs("w1"), is(0));
    assertThat(deployment.workers.runs("w2"), is(3));
  }

  @Test
  void doesNotRequestPermitAgainForRejectedWorkers() {
    deployment.submit(node, ADVISED_QUEUE, JOB, step(3));
    deployment.advance(Duration.ofSeconds(3));
    assertThat(deployment.workers.history().starts(JOB), is(0));
    assertThat(deployment.adviceRequests, hasSize(1));
  }

  @Test
  void requestsPermitAgainAfterItsExpiry() {
    deployment.permits.put("w1", "permit");
    deployment.submit(node, ADVISED_QUEUE, JOB, step(20));
    deployment.advance(Duration.ofSeconds(2));
    assertThat(deployment.workers.history().starts(JOB), is(20));
  }

  /**
   * Guards against a new leader that does not know a removed queue and forgets what it requires.
   */
  @Test
  void newLeaderKnowsThatRemovedQueueNeedsPermit() {
    deployment.submit(node, ADVISED_QUEUE, JOB, step(3));
    deployment.configureQueues(SimulatedDeployment.QUEUE);
    deployment.advance(Duration.ofMillis(200));
    deployment.startNode("d2");
    node.resign();
    deployment.advance(Duration.ofSeconds(2));
    assertThat(deployment.workers.history().starts(JOB), is(0));
  }

  @Test
  void otherQueuesNeedNoPermit() {
    deployment.submit(node, JOB, step(3));
    deployment.advance(Duration.ofSeconds(1));
    assertThat(deployment.workers.history().starts(JOB), is(3));
    assertThat(deployment.adviceRequests, is(empty()));
  }
}
