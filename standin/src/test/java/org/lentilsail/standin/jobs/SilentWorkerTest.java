package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.model.job.JobSpec;

/** Guards against tasks and members of the roster that wait too long for a silent worker. */
class SilentWorkerTest {
  private static final String JOB = "00000000000000a1";

  /** Longest lease with the margin for a worker clock that runs slow, in ms. */
  private static final int LONGEST_LEASE_MILLIS = 6_180;

  /** Time in ms until a silent worker is noticed, and its tasks are placed elsewhere. */
  private static final int DETECTION_MILLIS = 2_320;

  private long jobMillis = 300;
  private SimulatedDeployment deployment;
  private JobNode second;

  @BeforeEach
  void start() {
    deployment = new SimulatedDeployment(task -> jobMillis);
    deployment.startWorker("w1");
    deployment.startMachineOf("w1");
    second = deployment.startNodes("d1", "d2").get(1);
  }

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  /** Guards against starts that are still sent to a silent worker and postpone the end of all. */
  @ParameterizedTest
  @ValueSource(ints = {6, 24, 48})
  void queuedStartsToSilentWorkerDoNotPostponeItsTasks(final int tasks) {
    jobMillis = 20_000;
    deployment.startWorker("large", 200_000);
    deployment.startMachineOf("large");
    deployment.advance(Duration.ofMillis(600));
    deployment.workers.fail("w1");
    deployment.stopMachineOf("w1");
    deployment.expireEntry("w1");
    deployment.advance(Duration.ofMillis(600));
    second
        .jobApi()
        .submit(
            deployment.submitted(
                SimulatedDeployment.QUEUE,
                new JobSpec(JOB, "work", List.of(SimulatedDeployment.step(tasks)), 0, 0, 0)));
    while (deployment.store.get("at/large").isEmpty()) {
      deployment.advance(Duration.ofMillis(1));
    }
    deployment.workers.cut("d1", "large", true);
    deployment.startWorker("spare", 200_000);
    int millis = 0;
    while (deployment.workers.history().starts(JOB) < tasks && millis < 60_000) {
      deployment.advance(Duration.ofMillis(10));
      millis += 10;
    }
    assertThat(millis, is(lessThan(LONGEST_LEASE_MILLIS + DETECTION_MILLIS)));
  }

  /** Guards against an ended worker that stays: its last report was full and it had no runs. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void endedWorkerWithFullReportAndWithoutRunsLeavesTheRoster(final int limit) {
    deployment.workers.limitListedRuns(limit);
    deployment.store.faultWrites("d1", "p/", StoreFault.REFUSED);
    deployment.submit(second, JOB, SimulatedDeployment.step(limit));
    deployment.advance(Duration.ofMillis(1_000));
    deployment.workers.fail("w1");
    deployment.expireEntry("w1");
    deployment.stopMachineOf("w1");
    deployment.store.faultWrites("d1", "p/", StoreFault.NONE);
    deployment.advance(Duration.ofSeconds(60));
    assertThat(roster(), not(containsString("w1")));
  }

  /** Guards against a worker that is admitted for good after its entry has gone. */
  @Test
  void workerWhoseEntryWentBeforeItsAdmissionLeavesTheRoster() {
    deployment.store.faultWrites("d1", "roster", StoreFault.REFUSED);
    deployment.startWorker("w2");
    deployment.advance(Duration.ofMillis(500));
    deployment.workers.fail("w2");
    deployment.expireEntry("w2");
    deployment.advance(Duration.ofMillis(2_800));
    deployment.store.faultWrites("d1", "roster", StoreFault.NONE);
    deployment.advance(Duration.ofSeconds(60));
    assertThat(roster(), not(containsString("w2")));
  }

  private String roster() {
    return deployment
        .store
        .get("roster")
        .map(item -> new String(item.value(), StandardCharsets.UTF_8))
        .orElse("");
  }
}
