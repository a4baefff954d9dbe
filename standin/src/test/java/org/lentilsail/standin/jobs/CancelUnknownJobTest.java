package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.standin.jobs.SimulatedDeployment.longRunning;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.jobs.SubmitOutcome;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.policy.access.Caller;

/**
 * Guards against a job that runs although its caller was told that there is none: the write of the
 * submission had no answer, the store executed it after the cancellation (review/9).
 */
class CancelUnknownJobTest {
  private static final String JOB = "1000000000000001";
  private static final Duration AFTER_LATE_WRITES = Duration.ofSeconds(6);

  private SimulatedDeployment deployment;
  private JobNode first;
  private JobNode second;

  @BeforeEach
  void start() {
    deployment = new SimulatedDeployment(task -> 0);
    deployment.startWorker("w1");
    final List<JobNode> nodes = deployment.startNodes("d1", "d2");
    first = nodes.get(0);
    second = nodes.get(1);
  }

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  @ParameterizedTest
  @CsvSource({"0, false", "0, true", "500, false", "1500, true"})
  void lateSubmissionOfCancelledJobDoesNotRun(
      final int cancelAfterMillis, final boolean newLeader) {
    deployment.store.fault("d2", StoreFault.LATE);
    assertThat(deployment.submit(second, JOB, longRunning(1)), is(SubmitOutcome.UNKNOWN));
    deployment.store.fault("d2", StoreFault.NONE);
    deployment.advance(Duration.ofMillis(cancelAfterMillis));

    final SubmitOutcome cancelled = deployment.cancel(first, JOB);
    if (newLeader) {
      first.resign();
    }
    deployment.advance(AFTER_LATE_WRITES);

    assertThat(
        cancelled == SubmitOutcome.NOT_FOUND || cancelled == SubmitOutcome.ACCEPTED, is(true));
    assertThat(deployment.workers.history().running(JOB), is(0));
  }

  /** The write of the submission and the cancellation reach the store in either order. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 8})
  void submissionAndCancellationAtTheSameTimeAgree(final int cancelAfterMillis) {
    final JobSpec spec = new JobSpec(JOB, "work", List.of(longRunning(1)), 0, 0, 0);
    final CompletableFuture<SubmitOutcome> submitted =
        second.jobApi().submit(deployment.submitted(SimulatedDeployment.QUEUE, spec));
    deployment.advance(Duration.ofMillis(cancelAfterMillis));
    final SubmitOutcome cancelled = deployment.cancel(first, JOB);
    deployment.advance(AFTER_LATE_WRITES);

    assertThat(
        submitted.join(),
        is(cancelled == SubmitOutcome.ACCEPTED ? SubmitOutcome.ACCEPTED : SubmitOutcome.NOT_FOUND));
    assertThat(deployment.workers.history().running(JOB), is(0));
  }

  @Test
  void repeatedSubmissionOfCancelledJobIsNotAccepted() {
    assertThat(deployment.cancel(first, JOB), is(SubmitOutcome.NOT_FOUND));
    assertThat(deployment.submit(second, JOB, longRunning(1)), is(SubmitOutcome.NOT_FOUND));
    assertThat(deployment.cancel(second, JOB), is(SubmitOutcome.NOT_FOUND));
    deployment.advance(AFTER_LATE_WRITES);
    assertThat(deployment.workers.history().starts(JOB), is(0));
    assertThat(deployment.state(second, JOB), is(Optional.empty()));
  }

  /** A cancelled id in the batch does not keep the other jobs of it from being accepted. */
  @Test
  void otherJobsOfTransactionAreAccepted() {
    deployment.cancel(first, JOB);
    final List<CompletableFuture<SubmitOutcome>> outcomes =
        List.of("1000000000000002", JOB, "1000000000000003").stream()
            .map(id -> new JobSpec(id, "work", List.of(longRunning(1)), 0, 0, 0))
            .map(spec -> second.jobApi().submit(deployment.submitted("holds", spec)))
            .toList();
    deployment.advance(Duration.ofSeconds(1));
    assertThat(
        outcomes.stream().map(CompletableFuture::join).toList(),
        is(List.of(SubmitOutcome.ACCEPTED, SubmitOutcome.NOT_FOUND, SubmitOutcome.ACCEPTED)));
  }

  @ParameterizedTest
  @CsvSource({"REFUSED, NOT_ACCEPTED", "SILENT, NOT_ACCEPTED", "ANSWERS_LOST, NOT_ACCEPTED"})
  void callerIsNotToldThatThereIsNoJobWhileStoreDoesNotAnswer(
      final StoreFault fault, final SubmitOutcome expected) {
    deployment.store.fault("d2", fault);
    assertThat(
        deployment.await(second.jobApi().cancel(JOB, Caller.UNRESTRICTED), Duration.ofSeconds(5)),
        is(expected));
  }

  /** Guards against a spoiled submission that keeps all cancellations in the store for good. */
  @Test
  void cancellationOfSpoiledSubmissionDoesNotHoldUpOthers() {
    final byte[] spoiled = "spoiled".getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < 12; i++) {
      final String id = String.format("20000000000000%02d", i);
      deployment.store.put("in/" + id + "/s", spoiled);
      deployment.store.put("in/" + id + "/x", spoiled);
    }
    deployment.advance(Duration.ofSeconds(1));
    deployment.cancel(first, JOB);
    deployment.advance(Duration.ofSeconds(200));
    assertThat(deployment.store.get("in/" + JOB + "/x").isPresent(), is(false));
    assertThat(deployment.store.get("in/2000000000000000/x").isPresent(), is(true));
  }

  /**
   * Guards against an accepted job that the leader cancels: it had removed an earlier cancellation
   * of its id and did not know, since the store's answer or the history with the removal was lost.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void cancellationRemovedWithoutAnswerDoesNotCancelLaterJob(final boolean historyLost) {
    deployment.cancel(second, JOB);
    deployment.store.delayAnswers("d1", () -> 100);
    while (deployment.store.get("in/" + JOB + "/x").isPresent()) {
      deployment.advance(Duration.ofMillis(1));
    }
    deployment.store.fault("d1", StoreFault.SILENT);
    if (historyLost) {
      deployment.store.compact();
    }
    deployment.advance(Duration.ofMillis(150));
    deployment.store.fault("d1", StoreFault.NONE);
    deployment.store.delayAnswers("d1", () -> 0);
    deployment.advance(Duration.ofSeconds(2));
    assertThat(deployment.submit(second, JOB, longRunning(1)), is(SubmitOutcome.ACCEPTED));
    deployment.advance(Duration.ofSeconds(1));
    assertThat(deployment.workers.history().running(JOB), is(1));
  }

  @Test
  void cancellationIsRemovedOnceNoSubmissionCanBeLate() {
    deployment.cancel(first, JOB);
    deployment.advance(Duration.ofSeconds(60));
    assertThat(deployment.store.get("in/" + JOB + "/x").isPresent(), is(true));
    deployment.advance(Duration.ofSeconds(130));
    assertThat(deployment.store.get("in/" + JOB + "/x").isPresent(), is(false));
    assertThat(deployment.submit(second, JOB, longRunning(1)), is(SubmitOutcome.ACCEPTED));
    deployment.advance(Duration.ofSeconds(1));
    assertThat(deployment.workers.history().running(JOB), is(1));
  }
}
