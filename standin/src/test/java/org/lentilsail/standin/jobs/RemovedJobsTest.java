package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.standin.jobs.SimulatedDeployment.step;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.jobs.SubmitOutcome;
import org.lentilsail.model.job.JobState;

/**
 * Guards against jobs that run again after their retention: the leader removed them while it read
 * the list of all jobs after lost history, found them in a page that was read before the removal,
 * and accepted them anew.
 */
class RemovedJobsTest {
  private static final List<String> JOBS =
      List.of("00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4");

  /** Job whose submission is the change that is lost with the history. */
  private static final String LATER_JOB = "ff000000000000b1";

  /** Time from the end of a job until just before it is removed. */
  private static final Duration RETENTION = Duration.ofSeconds(179);

  /** Longest time until the removal of all jobs whose retention has ended. */
  private static final Duration REMOVAL = Duration.ofSeconds(8);

  private SimulatedDeployment deployment;
  private JobNode first;
  private JobNode second;

  @BeforeEach
  void start() {
    deployment = new SimulatedDeployment(task -> 300);
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
  @CsvSource({"1, 3000", "2, 4000", "3, 5000", "500, 8000"})
  void jobRemovedWhileAllJobsAreReadDoesNotRunAgain(final int pageSize, final long delayMillis) {
    JOBS.forEach(job -> deployment.submit(second, job, step(3)));
    deployment.advance(RETENTION);
    deployment.store.pages(pageSize, delayMillis);
    loseHistory();
    deployment.advance(REMOVAL);
    JOBS.forEach(
        job -> assertThat(deployment.store.get("in/" + job + "/s").isPresent(), is(false)));
    deployment.store.pages(500, 0);
    deployment.advance(Duration.ofSeconds(20));
    JOBS.forEach(job -> assertThat(deployment.workers.history().starts(job), is(3)));
    JOBS.forEach(job -> assertThat(deployment.state(first, job), is(Optional.empty())));
    assertThat(deployment.state(second, LATER_JOB), is(Optional.of(JobState.COMPLETED)));
  }

  /** The removal falls before, into or after the time in which the next leader reads all jobs. */
  @ParameterizedTest
  @ValueSource(ints = {0, 500, 1_000, 1_500, 2_000, 3_000, 4_000, 5_000, 6_000})
  void jobRemovedAroundHandOverDoesNotRunAgain(final int handOverMillis) {
    JOBS.forEach(job -> deployment.submit(second, job, step(3)));
    deployment.advance(RETENTION);
    deployment.store.pages(1, 500);
    deployment.advance(Duration.ofMillis(handOverMillis));
    first.resign();
    deployment.advance(Duration.ofSeconds(30));
    JOBS.forEach(job -> assertThat(deployment.workers.history().starts(job), is(3)));
    assertThat(deployment.submit(first, LATER_JOB, step(1)), is(SubmitOutcome.ACCEPTED));
    deployment.advance(Duration.ofSeconds(10));
    assertThat(deployment.state(first, LATER_JOB), is(Optional.of(JobState.COMPLETED)));
  }

  /** Guards against a removed cancellation that cancels a job submitted after it. */
  @ParameterizedTest
  @CsvSource({"1, 3000", "500, 8000"})
  void removedCancellationDoesNotCancelLaterJob(final int pageSize, final long delayMillis) {
    final String job = JOBS.get(0);
    deployment.cancel(second, job);
    deployment.advance(RETENTION);
    deployment.store.pages(pageSize, delayMillis);
    loseHistory();
    deployment.advance(REMOVAL);
    assertThat(deployment.store.get("in/" + job + "/x").isPresent(), is(false));
    deployment.store.pages(500, 0);
    deployment.advance(Duration.ofSeconds(10));
    assertThat(deployment.submit(second, job, step(1)), is(SubmitOutcome.ACCEPTED));
    deployment.advance(Duration.ofSeconds(2));
    assertThat(deployment.state(second, job), is(Optional.of(JobState.COMPLETED)));
  }

  /** Guards against a job that never runs because an earlier one of its id was removed. */
  @ParameterizedTest
  @ValueSource(ints = {0, 500, 20_000})
  void jobSubmittedAfterRemovalOfItsIdRuns(final int millisAfterRemoval) {
    final String job = JOBS.get(3);
    deployment.cancel(second, job);
    deployment.advance(RETENTION);
    deployment.store.pages(1, 4_000);
    loseHistory();
    while (deployment.store.get("in/" + job + "/x").isPresent()) {
      deployment.advance(Duration.ofMillis(1));
    }
    deployment.advance(Duration.ofMillis(millisAfterRemoval));
    assertThat(deployment.submit(second, job, step(2)), is(SubmitOutcome.ACCEPTED));
    deployment.advance(Duration.ofSeconds(30));
    assertThat(deployment.workers.history().starts(job), is(2));
    assertThat(deployment.state(second, job), is(Optional.of(JobState.COMPLETED)));
  }

  /** Submits a job and drops the history that the watch of jobs asks for next. */
  private void loseHistory() {
    deployment.submit(second, LATER_JOB, step(1));
    deployment.store.put("other", "x".getBytes(StandardCharsets.UTF_8));
    deployment.store.compact();
  }
}
