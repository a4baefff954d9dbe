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
import org.junit.jupiter.api.Test;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.jobs.SubmitOutcome;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.policy.access.Caller;

/** Guards against jobs that callers of another organisation can read, cancel or take over. */
class OrganisationJobsTest {
  private static final String JOB = "00000000000000a1";
  private static final long TASK_MILLIS = 800;
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final Caller OWNER = Caller.of("one");
  private static final Caller OTHER = Caller.of("two");

  private SimulatedDeployment deployment;
  private JobNode first;
  private JobNode second;

  @BeforeEach
  void start() {
    deployment = new SimulatedDeployment(task -> TASK_MILLIS);
    deployment.startWorker("w1");
    final List<JobNode> nodes = deployment.startNodes("d1", "d2");
    first = nodes.get(0);
    second = nodes.get(1);
  }

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  @Test
  void onlyOwnerReadsStateAtEveryDaemonWhateverTheStateIs() {
    submit("one", step(1), step(1, 0));
    assertVisibleToOwnerOnly(JobState.PENDING);
    deployment.advance(Duration.ofMillis(TASK_MILLIS + 100));
    assertVisibleToOwnerOnly(JobState.RUNNING);
    assertThat(cancel(first, OWNER), is(SubmitOutcome.ACCEPTED));
    deployment.advance(Duration.ofSeconds(1));
    assertVisibleToOwnerOnly(JobState.CANCELLED);
    assertVisibleToOwnerOnly(JobState.CANCELLED);
  }

  /** The name is read from the store by a daemon that has not seen the submission. */
  @Test
  void daemonsThatStartLaterKnowTheOrganisation() {
    submit("one", step(1));
    deployment.isolate("d1");
    deployment.isolate("d2");
    second = deployment.startNode("d3");
    deployment.advance(SimulatedDeployment.FAIL_OVER.plusSeconds(2));
    first = deployment.startNode("d4");
    deployment.advance(Duration.ofSeconds(1));
    assertVisibleToOwnerOnly(JobState.COMPLETED);
  }

  @Test
  void otherOrganisationCannotCancel() {
    submit("one", step(1));
    deployment.advance(Duration.ofMillis(200));
    assertThat(cancel(second, OTHER), is(SubmitOutcome.NOT_FOUND));
    assertThat(cancel(first, Caller.ANONYMOUS), is(SubmitOutcome.NOT_FOUND));
    deployment.advance(Duration.ofMillis(TASK_MILLIS));
    assertThat(state(second, OWNER), is(Optional.of(JobState.COMPLETED)));
  }

  @Test
  void jobWithoutOrganisationIsVisibleToAll() {
    submit("", step(1));
    for (final Caller caller : List.of(OWNER, Caller.ANONYMOUS, Caller.UNRESTRICTED)) {
      assertThat(state(first, caller), is(Optional.of(JobState.PENDING)));
    }
    deployment.advance(Duration.ofSeconds(1));
    assertThat(state(second, OTHER), is(Optional.of(JobState.COMPLETED)));
    assertThat(cancel(second, OTHER), is(SubmitOutcome.ACCEPTED));
  }

  /** An earlier version persisted progress and submissions without an organisation. */
  @Test
  void progressOfAnEarlierVersionIsVisibleToAll() {
    final String progress = "{\"state\":\"RUNNING\",\"finishedMillis\":0,\"steps\":[]}";
    deployment.store.put("p/" + JOB, progress.getBytes(StandardCharsets.UTF_8));
    assertThat(state(second, OTHER), is(Optional.of(JobState.RUNNING)));
  }

  /** A 2xx would promise the caller that its own job is persisted. */
  @Test
  void idOfOtherOrganisationIsNotAcceptedAgain() {
    assertThat(submit("one", step(1)), is(SubmitOutcome.ACCEPTED));
    assertThat(submit("two", step(1)), is(SubmitOutcome.CONFLICT));
    assertThat(submit("", step(1)), is(SubmitOutcome.CONFLICT));
    assertThat(submit("one", step(1)), is(SubmitOutcome.ACCEPTED));
    assertThat(state(second, OTHER), is(Optional.empty()));
  }

  /** Guards against a job of a public queue that its caller no longer finds. */
  @Test
  void repeatedSubmissionDoesNotChangeTheOrganisation() {
    assertThat(submit("", step(1)), is(SubmitOutcome.ACCEPTED));
    assertThat(submit("one", step(1)), is(SubmitOutcome.ACCEPTED));
    assertThat(state(second, Caller.ANONYMOUS), is(Optional.of(JobState.PENDING)));
  }

  private void assertVisibleToOwnerOnly(final JobState expected) {
    for (final JobNode node : List.of(first, second)) {
      assertThat(state(node, OWNER), is(Optional.of(expected)));
      assertThat(state(node, Caller.UNRESTRICTED), is(Optional.of(expected)));
      assertThat(state(node, OTHER), is(Optional.empty()));
      assertThat(state(node, Caller.ANONYMOUS), is(Optional.empty()));
    }
  }

  private SubmitOutcome submit(final String organisation, final StepSpec... steps) {
    return deployment.submitFor(second, organisation, JOB, steps);
  }

  private Optional<JobState> state(final JobNode node, final Caller caller) {
    return deployment.await(node.jobApi().state(JOB, caller), TIMEOUT);
  }

  private SubmitOutcome cancel(final JobNode node, final Caller caller) {
    return deployment.await(node.jobApi().cancel(JOB, caller), TIMEOUT);
  }
}
