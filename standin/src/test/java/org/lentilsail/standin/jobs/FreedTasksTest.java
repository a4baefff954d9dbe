package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lentilsail.jobs.JobNode;

/**
 * Guards against tasks that a leader starts again, and workers that it removes, without a line that
 * tells what it had seen: the cause could not be found from the logs of a deployment.
 */
class FreedTasksTest {
  private static final String JOB = "00000000000000a1";
  private static final String WAITING_JOB = "00000000000000a2";
  private static final long TASK_MILLIS = 20_000;
  private static final String GHOST = "ghost";

  /** How a leader learns that a task is free. */
  private enum Cause {
    GATE_EXPIRED {
      @Override
      void happen(final FreedTasksTest test) {
        test.deployment.workers.cut("d2", "w1", true);
        test.deployment.workers.crash("w1");
        test.deployment.isolate("d1");
        test.deployment.advance(Duration.ofSeconds(9));
      }
    },
    GATE_REPORTED {
      @Override
      void happen(final FreedTasksTest test) {
        test.deployment.isolate("d1");
        test.deployment.restartWorker("w1");
        test.deployment.advance(Duration.ofSeconds(9));
      }
    },
    MACHINE_LIST {
      @Override
      void happen(final FreedTasksTest test) {
        test.deployment.workers.crash("w1");
        test.deployment.workers.cut("d1", "w1", true);
        test.deployment.stopMachineOf("w1");
        test.deployment.advance(Duration.ofSeconds(2));
      }
    };

    abstract void happen(FreedTasksTest test);
  }

  private final SimulatedDeployment deployment = new SimulatedDeployment(task -> TASK_MILLIS);
  private JobNode second;

  @BeforeEach
  void start() {
    deployment.startWorker("w1", 1_000);
    deployment.startMachineOf("w1");
    second = deployment.startNodes("d1", "d2").get(1);
  }

  @AfterEach
  void close() {
    deployment.close();
  }

  @ParameterizedTest
  @EnumSource
  void freedTaskIsLoggedWithReason(final Cause cause) {
    deployment.submit(second, JOB, SimulatedDeployment.step(1));
    deployment.advance(Duration.ofMillis(500));
    deployment.submit(second, WAITING_JOB, SimulatedDeployment.step(1));
    deployment.advance(Duration.ofMillis(500));

    cause.happen(this);

    assertThat(
        lines("task-freed"),
        containsString(
            "event=task-freed task="
                + JOB
                + ".0.0.0 worker=w1 reason="
                + cause.name().toLowerCase(Locale.ROOT).replace('_', '-')
                + " ageMs="));
  }

  /** The worker of a placement that the roster lacks may live, so only its lease frees the task. */
  @Test
  void taskOfPlacementOutsideRosterIsFreedByTheGate() {
    deployment.submit(second, JOB, SimulatedDeployment.step(1));
    deployment.submit(second, WAITING_JOB, SimulatedDeployment.step(1));
    final String task = WAITING_JOB + ".0.0.0";
    deployment.store.put(
        "at/" + GHOST, ("{\"tasks\":[\"" + task + "\"]}").getBytes(StandardCharsets.UTF_8));
    deployment.isolate("d1");
    deployment.advance(Duration.ofSeconds(10));
    assertThat(
        lines("task-freed"),
        containsString(
            "event=task-freed task=" + task + " worker=" + GHOST + " reason=gate-expired ageMs="));
  }

  /** A task that its worker still runs, or that is done, is not free when the gate opens. */
  @Test
  void taskThatItsWorkerReportsIsNotFreed() {
    deployment.submit(second, JOB, SimulatedDeployment.step(1));
    deployment.advance(Duration.ofSeconds(1));
    deployment.isolate("d1");
    deployment.advance(Duration.ofSeconds(9));
    deployment.close();
    final String logOfNextLeader = deployment.logTexts().get("d2");
    assertThat(logOfNextLeader, containsString("event=control-open"));
    assertThat(logOfNextLeader, not(containsString("event=task-freed")));
    assertThat(logOfNextLeader, not(containsString("event=run-dropped")));
  }

  @Test
  void workerWithoutEntryIsLoggedAsRemoved() {
    deployment.store.remove("servers/w1");
    deployment.advance(Duration.ofSeconds(4));
    assertThat(
        lines("worker-removed"),
        containsString("worker=w1 reason=removed-from-roster evidence=\"no entry, no runs\""));
    assertThat(lines("worker-removed"), containsString(" unstored="));
  }

  @Test
  void workerOfMaintainedMachineIsLoggedAsRemoved() {
    deployment.startWorker("w2", 1_000);
    deployment.startMachineOf("w2");
    deployment.store.put("op/wave/1", "m-w1".getBytes(StandardCharsets.UTF_8));
    deployment.advance(Duration.ofSeconds(5));
    assertThat(
        lines("worker-removed"),
        containsString(
            "worker=w1 reason=machine-command evidence=\"maintenance of m-w1 confirmed\""));
  }

  /** A list that replaces lost history shows a job that the changes did not. */
  @Test
  void jobOfLaterListIsLogged() {
    deployment.submit(second, JOB, SimulatedDeployment.step(1));
    deployment.advance(Duration.ofMillis(500));
    deployment.store.fault("d1", StoreFault.REFUSED);
    deployment.submit(second, WAITING_JOB, SimulatedDeployment.step(1));
    deployment.store.compact();
    deployment.store.fault("d1", StoreFault.NONE);
    deployment.advance(Duration.ofSeconds(3));
    assertThat(
        lines("job-accepted"),
        containsString("job=" + WAITING_JOB + " fromSnapshot=later progress=none ageMs="));
  }

  @Test
  void jobOfFirstListOfLeaderIsLogged() {
    deployment.submit(second, JOB, SimulatedDeployment.step(1));
    deployment.advance(Duration.ofMillis(500));
    deployment.isolate("d1");
    deployment.advance(Duration.ofSeconds(3));
    assertThat(
        lines("job-accepted"),
        containsString("job=" + JOB + " fromSnapshot=first progress=none ageMs="));
  }

  /** Returns the lines of an event in the logs of all daemons. */
  private String lines(final String event) {
    deployment.close();
    final Pattern line = Pattern.compile("^at=\\d+ event=" + event + " .*");
    return deployment.logTexts().values().stream()
        .flatMap(String::lines)
        .filter(text -> line.matcher(text).matches())
        .collect(Collectors.joining("\n"));
  }
}
