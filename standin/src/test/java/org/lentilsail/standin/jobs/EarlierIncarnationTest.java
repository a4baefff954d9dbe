package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.standin.jobs.SimulatedDeployment.step;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.model.job.JobState;
import org.lentilsail.worker.PollRequest;

/**
 * Guards against calls that were sent to a worker before it restarted under its id and that its new
 * incarnation executes.
 */
class EarlierIncarnationTest {
  private static final String JOB = "00000000000000a1";

  private static final String SHORT_JOB = "00000000000000a2";

  private static final String LASTING_JOB = "1000000000000001";

  private static final Map<String, Long> TASK_MILLIS =
      Map.of(JOB, 300L, SHORT_JOB, 60L, LASTING_JOB, 0L);

  private SimulatedDeployment deployment;
  private JobNode second;

  @BeforeEach
  void start() {
    deployment = new SimulatedDeployment(task -> TASK_MILLIS.get(task.job()));
    deployment.startWorker("w1");
    deployment.startMachineOf("w1");
    second = deployment.startNodes("d1", "d2").get(1);
    deployment.advance(Duration.ofSeconds(20));
  }

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  /**
   * Guards against tasks that run again although they were done: an acknowledgement of the earlier
   * incarnation discarded ends that the leader had not received.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 1, false",
    "1, 1, true",
    "100, 1, false",
    "100, 1, true",
    "1, 2000, false",
    "1, 2000, true",
    "300, 300, false",
    "300, 300, true"
  })
  void lateAcknowledgementDiscardsNothing(
      final int entryAfterMillis, final int submitAfterMillis, final boolean newLeader) {
    deployment.submit(second, JOB, step(6));
    holdNextPoll(request -> request.acknowledgedSequence() >= 6);
    deployment.restartWorker("w1");
    deployment.advance(Duration.ofMillis(entryAfterMillis));
    deployment.writeEntryOfRestart("w1");
    deployment.advance(Duration.ofMillis(submitAfterMillis));
    deployment.submit(second, SHORT_JOB, step(2));
    advanceUntil(() -> deployment.workers.history().running(SHORT_JOB) == 2);
    deployment.advance(Duration.ofMillis(10));
    deployment.workers.cut("d1", "w1", true);
    deployment.advance(Duration.ofMillis(100));
    deployment.workers.deliverHeldPoll();
    if (newLeader) {
      deployment.isolate("d1");
      deployment.advance(SimulatedDeployment.FAIL_OVER);
    } else {
      deployment.workers.cut("d1", "w1", false);
    }
    deployment.advance(Duration.ofSeconds(3));
    assertThat(deployment.workers.history().starts(SHORT_JOB), is(2));
    assertThat(deployment.state(second, SHORT_JOB), is(Optional.of(JobState.COMPLETED)));
  }

  /**
   * Guards against a second run beside the first one: a renewal of the lease of the earlier
   * incarnation, as a time on the clock of that one, prolonged the lease of the present one beyond
   * the time at which the leader took its runs for ended.
   */
  @ParameterizedTest
  @CsvSource({"1, 500", "1, 2000", "1, 3500", "100, 500", "100, 3500", "400, 2000"})
  void lateRenewalDoesNotProlongLease(final int entryAfterMillis, final int deliveredAfterMillis) {
    holdNextPoll(request -> request.leaseExpiryMillis() > 0);
    deployment.restartWorker("w1");
    deployment.advance(Duration.ofMillis(entryAfterMillis));
    deployment.writeEntryOfRestart("w1");
    deployment.submit(second, LASTING_JOB, step(1));
    advanceUntil(() -> deployment.workers.history().running(LASTING_JOB) == 1);
    deployment.startWorker("w2");
    deployment.workers.cut("d1", "w1", true);
    deployment.advance(Duration.ofMillis(deliveredAfterMillis));
    deployment.workers.deliverHeldPoll();
    deployment.advance(Duration.ofSeconds(9));
    assertThat(deployment.workers.runs("w2"), is(1));
  }

  /**
   * Guards against a worker that refuses all calls: it has seen the raised token of its restart,
   * and is admitted again after its entry was missing, with or without another restart.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void workerAdmittedAgainAfterRestartRunsTasks(final boolean restartedAgain) {
    deployment.restartWorker("w1");
    deployment.writeEntryOfRestart("w1");
    deployment.advance(Duration.ofSeconds(1));
    deployment.store.remove("servers/w1");
    deployment.advance(Duration.ofSeconds(5));
    if (restartedAgain) {
      deployment.restartWorker("w1");
      deployment.writeEntryOfRestart("w1");
    } else {
      deployment.writeEntry("w1");
    }
    deployment.advance(Duration.ofSeconds(1));
    deployment.submit(second, JOB, step(2));
    deployment.advance(Duration.ofSeconds(1));
    assertThat(deployment.state(second, JOB), is(Optional.of(JobState.COMPLETED)));
  }

  /** Guards against a run beside the one that has replaced it after a restart. */
  @ParameterizedTest
  @CsvSource({"300, 1", "900, 1", "2500, 1", "2500, 100", "2500, 600"})
  void lateStartDoesNotRunBesideItsReplacement(final int lateMillis, final int entryAfterMillis) {
    deployment.workers.delayStarts(lateMillis);
    deployment.submit(second, LASTING_JOB, step(1));
    deployment.advance(Duration.ofMillis(20));
    deployment.workers.delayStarts(0);
    deployment.restartWorker("w1");
    deployment.advance(Duration.ofMillis(entryAfterMillis));
    deployment.writeEntryOfRestart("w1");
    deployment.startWorker("w2");
    deployment.advance(Duration.ofSeconds(8));
    assertThat(deployment.workers.history().running(LASTING_JOB), is(1));
  }

  private void holdNextPoll(final Predicate<PollRequest> kind) {
    deployment.workers.holdPoll(kind);
    advanceUntil(deployment.workers::isPollHeld);
  }

  private void advanceUntil(final BooleanSupplier condition) {
    final long limit = deployment.time.nanos() + Duration.ofSeconds(5).toNanos();
    while (!condition.getAsBoolean() && deployment.time.nanos() < limit) {
      deployment.advance(Duration.ofMillis(1));
    }
    assertThat(condition.getAsBoolean(), is(true));
  }
}
