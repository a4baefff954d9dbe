package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.JobState;

/**
 * Guards against tasks that run again because the registry entry of a live worker was missing for
 * longer than the leader waits for it, as after an outage of the store.
 */
class MissingEntryTest {
  /** Time after which a worker without an entry counts as deregistered, and the next tick. */
  private static final int DEREGISTERED_MILLIS = 2_600;

  /** Number of jobs that one transaction of progress does not hold. */
  private static final int MANY_JOBS = 48;

  private static final String JOB = "00000000000000a1";

  /** Job whose task does not end within a test. */
  private static final String LASTING_JOB = "1000000000000001";

  /** How long the tasks of the other jobs take. */
  private long jobMillis = 300;

  private SimulatedDeployment deployment;
  private JobNode second;

  @BeforeEach
  void start() {
    deployment = new SimulatedDeployment(task -> task.job().equals(LASTING_JOB) ? 0 : jobMillis);
    deployment.startWorker("w1");
    deployment.startMachineOf("w1");
    second = deployment.startNodes("d1", "d2").get(1);
  }

  @AfterEach
  void noTaskRanTwice() {
    deployment.closeAndCheckRuns();
  }

  /**
   * Guards against tasks that the next leader starts again although their ends were reported: the
   * leader had the ends in memory only, and took their worker off the roster.
   *
   * @param progress fault of the writes of progress
   * @param roster fault of the writes of the roster that remove the worker
   * @param placements fault of the removals of its placements
   * @param expiredAtMillis when the entry expires, from the starts on, which take 300 ms
   * @param faultAtMillis when the fault of the writes of progress begins
   * @param lostAfterMillis time from the deregistration of the worker to the loss of the leader
   * @param backAfterMillis time from the loss of the leader until the entry is back and the next
   *     leader reaches the worker
   */
  @ParameterizedTest
  @CsvSource({
    "REFUSED, NONE, NONE, 50, 0, 100, 1900",
    "REFUSED, NONE, NONE, 50, 250, 100, 1900",
    "REFUSED, NONE, NONE, 250, 50, 100, 1900",
    "REFUSED, NONE, NONE, 310, 290, 100, 1900",
    "REFUSED, NONE, NONE, 600, 0, 100, 1900",
    "REFUSED, NONE, NONE, 50, 0, 1500, 1900",
    "REFUSED, NONE, NONE, 50, 0, 100, 1200",
    "REFUSED, NONE, NONE, 50, 0, 100, 2500",
    "REFUSED, NONE, REFUSED, 50, 0, 1500, 1900",
    "REFUSED, REFUSED, NONE, 50, 0, 1500, 1900",
    "REFUSED, SILENT, NONE, 50, 0, 1500, 1900",
    "REFUSED, ANSWERS_LOST, NONE, 50, 0, 1500, 1900",
    "REFUSED, ANSWERS_LOST, REFUSED, 50, 0, 100, 1900",
    "REFUSED, LATE, NONE, 50, 0, 1500, 1900",
    "REFUSED, LATE, LATE, 50, 0, 2500, 1900",
    "SILENT, NONE, NONE, 50, 0, 100, 1900",
    "SILENT, NONE, NONE, 300, 250, 1500, 1900",
    "SILENT, SILENT, ANSWERS_LOST, 50, 0, 1500, 1900"
  })
  void endsInMemoryOnlyKeepTheirWorkerKnownToTheNextLeader(
      final StoreFault progress,
      final StoreFault roster,
      final StoreFault placements,
      final int expiredAtMillis,
      final int faultAtMillis,
      final int lostAfterMillis,
      final int backAfterMillis) {
    deployment.submit(second, JOB, SimulatedDeployment.step(2));
    later(faultAtMillis, () -> deployment.store.faultWrites("d1", "p/", progress));
    later(expiredAtMillis, () -> deployment.expireEntry("w1"));
    later(1_000, () -> deployment.startWorker("w2"));
    later(2_000, () -> deployment.store.faultWrites("d1", "roster", roster));
    later(2_000, () -> deployment.store.faultWrites("d1", "at/", placements));
    deployment.advance(Duration.ofMillis(expiredAtMillis + DEREGISTERED_MILLIS + lostAfterMillis));
    deployment.isolate("d1");
    deployment.workers.cut("d2", "w1", true);
    deployment.advance(Duration.ofMillis(backAfterMillis));
    deployment.workers.cut("d2", "w1", false);
    deployment.writeEntry("w1");
    deployment.advance(Duration.ofSeconds(10));
    assertThat(deployment.workers.history().starts(JOB), is(2));
    assertThat(deployment.state(second, JOB), is(Optional.of(JobState.COMPLETED)));
  }

  /**
   * Guards against the same with a store that is only slow: more jobs have ended than one
   * transaction persists, and the leader is lost between the write of the roster and the last of
   * them.
   */
  @ParameterizedTest
  @ValueSource(ints = {50, 300, 500})
  void endsOfManyJobsKeepTheirWorkerKnownToTheNextLeader(final int lostAfterMillis) {
    deployment.startWorker("large", 64_000);
    deployment.startMachineOf("large");
    deployment.advance(Duration.ofMillis(200));
    deployment.expireEntry("large");
    deployment.advance(Duration.ofMillis(2_000));
    for (int i = 0; i < MANY_JOBS; i++) {
      final JobSpec job =
          new JobSpec(manyJobs(i), "work", List.of(SimulatedDeployment.step(1)), 0, 0, 0);
      second.jobApi().submit(deployment.submitted(SimulatedDeployment.QUEUE, job));
    }
    deployment.advance(Duration.ofMillis(250));
    deployment.store.delayAnswers("d1", () -> 400);
    deployment.advance(Duration.ofMillis(DEREGISTERED_MILLIS - 2_250 + lostAfterMillis));
    deployment.isolate("d1");
    deployment.advance(SimulatedDeployment.FAIL_OVER);
    deployment.writeEntry("large");
    deployment.advance(Duration.ofSeconds(10));
    for (int i = 0; i < MANY_JOBS; i++) {
      assertThat(deployment.workers.history().starts(manyJobs(i)), is(1));
      assertThat(deployment.state(second, manyJobs(i)), is(Optional.of(JobState.COMPLETED)));
    }
  }

  /**
   * Guards against the same with a worker that the leader takes for ended, since the list of
   * machines lacks it: what it has reported counts as long as it is not known to be gone.
   */
  @ParameterizedTest
  @CsvSource({"REFUSED, 100", "REFUSED, 1500", "SILENT, 1500", "LATE, 1500"})
  void endsOfWorkerWithoutMachineKeepItKnownToTheNextLeader(
      final StoreFault progress, final int lostAfterMillis) {
    deployment.submit(second, LASTING_JOB, SimulatedDeployment.longRunning(1));
    deployment.submit(second, JOB, SimulatedDeployment.step(2));
    deployment.store.faultWrites("d1", "p/", progress);
    deployment.advance(Duration.ofMillis(900));
    deployment.startWorker("w2");
    deployment.advance(Duration.ofMillis(100));
    deployment.workers.cut("d1", "w1", true);
    deployment.cancel(second, LASTING_JOB);
    deployment.stopMachineOf("w1");
    deployment.advance(Duration.ofMillis(1_400 + lostAfterMillis));
    deployment.isolate("d1");
    deployment.workers.cut("d2", "w1", true);
    deployment.advance(SimulatedDeployment.FAIL_OVER);
    deployment.workers.cut("d2", "w1", false);
    deployment.advance(Duration.ofSeconds(10));
    assertThat(deployment.workers.history().starts(JOB), is(2));
    assertThat(deployment.state(second, JOB), is(Optional.of(JobState.COMPLETED)));
  }

  /**
   * Guards against tasks that run again since the roster lacks their worker, for example as its row
   * cannot be read: the next leader took such a worker for a terminated one.
   *
   * @param taskMillis how long the tasks take that run when the leader is lost
   * @param backAfterMillis time from the loss of the leader until the entry is back and the next
   *     leader reaches the worker
   */
  @ParameterizedTest
  @CsvSource({"400, 1300", "400, 2500", "2000, 1300", "2000, 2500", "20000, 2500"})
  void placementsOfWorkerOutsideTheRosterBlockTheirTasks(
      final long taskMillis, final int backAfterMillis) {
    jobMillis = taskMillis;
    loseLeaderAndRosterWhileTasksRun();
    deployment.advance(Duration.ofMillis(backAfterMillis));
    deployment.workers.cut("d2", "w1", false);
    deployment.writeEntry("w1");
    deployment.advance(Duration.ofSeconds(10));
    assertThat(deployment.workers.history().starts(JOB), is(2));
    assertThat(deployment.store.get("at/w1").isPresent(), is(true));
  }

  /** Guards against tasks that wait for good for a worker outside the roster that has ended. */
  @Test
  void tasksOfEndedWorkerOutsideTheRosterStartAfterTheLongestLease() {
    jobMillis = 2_000;
    loseLeaderAndRosterWhileTasksRun();
    deployment.workers.fail("w1");
    deployment.advance(SimulatedDeployment.FAIL_OVER.plusMillis(5_000));
    assertThat(deployment.workers.history().starts(JOB), is(2));
    deployment.advance(Duration.ofMillis(1_500));
    assertThat(deployment.workers.history().starts(JOB), is(4));
    deployment.advance(Duration.ofSeconds(1));
    assertThat(deployment.store.get("at/w1"), is(Optional.empty()));
  }

  /** Loses the leader, the roster and the entry of the worker that runs the tasks. */
  private void loseLeaderAndRosterWhileTasksRun() {
    deployment.submit(second, JOB, SimulatedDeployment.step(2));
    deployment.advance(Duration.ofMillis(100));
    deployment.startWorker("w2");
    deployment.advance(Duration.ofMillis(100));
    deployment.isolate("d1");
    deployment.workers.cut("d2", "w1", true);
    deployment.expireEntry("w1");
    deployment.store.put("roster", "{\"workers\":[]}".getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Guards against tasks that run again since another worker responds at the address on the roster:
   * it is that of an earlier incarnation, and says nothing of the runs of the present one.
   */
  @ParameterizedTest
  @CsvSource({"400, 1500", "2000, 1500", "20000, 2500"})
  void addressOfEarlierIncarnationDoesNotShowThatRunsHaveEnded(
      final long taskMillis, final int backAfterMillis) {
    jobMillis = taskMillis;
    deployment.reviveWorkerElsewhere("w1");
    deployment.advance(Duration.ofMillis(300));
    deployment.submit(second, JOB, SimulatedDeployment.step(2));
    deployment.advance(Duration.ofMillis(100));
    deployment.startWorker("w2");
    deployment.advance(Duration.ofMillis(100));
    deployment.isolate("d1");
    deployment.expireEntry("w1");
    deployment.advance(Duration.ofMillis(backAfterMillis));
    deployment.writeEntry("w1");
    deployment.advance(Duration.ofSeconds(10));
    assertThat(deployment.workers.history().starts(JOB), is(2));
  }

  /**
   * Guards against workers that stay on the roster for good: a worker that has ended is taken off
   * it once what it has reported is persisted, also if it had more to report.
   */
  @ParameterizedTest
  @CsvSource({"1, 100", "1, 1000", "100, 1000"})
  void endedWorkerLeavesTheRoster(final int listLimit, final int endedAtMillis) {
    deployment.workers.limitListedRuns(listLimit);
    deployment.store.faultWrites("d1", "p/", StoreFault.REFUSED);
    deployment.submit(second, LASTING_JOB, SimulatedDeployment.longRunning(1));
    deployment.submit(second, JOB, SimulatedDeployment.step(3));
    deployment.advance(Duration.ofMillis(endedAtMillis));
    deployment.workers.fail("w1");
    deployment.expireEntry("w1");
    deployment.advance(Duration.ofSeconds(8));
    deployment.store.faultWrites("d1", "p/", StoreFault.NONE);
    deployment.advance(Duration.ofSeconds(2));
    final String roster =
        deployment
            .store
            .get("roster")
            .map(item -> new String(item.value(), StandardCharsets.UTF_8))
            .orElse("");
    assertThat(roster, not(containsString("w1")));
    assertThat(deployment.store.get("at/w1"), is(Optional.empty()));
  }

  private static String manyJobs(final int number) {
    return String.format("%016x", 0xb00 + number);
  }

  private void later(final int millis, final Runnable action) {
    deployment.executor.schedule(action, millis, TimeUnit.MILLISECONDS);
  }
}
