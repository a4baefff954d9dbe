package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.MILLI;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a task that runs on two workers after a worker has started again under its id: a
 * start that the new incarnation had executed was taken for one of the earlier incarnation, and its
 * task was started elsewhere (review/8).
 */
class RestartedWorkerTest {
  private static final long RESTART = 200 * MILLI;
  private static final long NEXT_POLL = 201 * MILLI;
  private static final long NEXT_REPORT = 203 * MILLI;

  /** What is known of a start when the restart becomes known. */
  private enum Start {
    ACCEPTED {
      @Override
      void reach(final JobFixture fixture, final TaskRun run) {
        fixture.tracker.startAccepted(run, MILLI);
      }
    },
    IN_FLIGHT {
      @Override
      void reach(final JobFixture fixture, final TaskRun run) {
        run.startExpiry(1_500);
      }
    },
    NOT_ANSWERED {
      @Override
      void reach(final JobFixture fixture, final TaskRun run) {
        run.startExpiry(1_500);
        fixture.tracker.startUnconfirmed(run, MILLI);
      }
    },
    BEING_STOPPED {
      @Override
      void reach(final JobFixture fixture, final TaskRun run) {
        fixture.tracker.startAccepted(run, MILLI);
        fixture.tracker.stop(run, "moved");
      }
    },
    STOP_ACCEPTED {
      @Override
      void reach(final JobFixture fixture, final TaskRun run) {
        fixture.tracker.startUnconfirmed(run, MILLI);
        fixture.tracker.stop(run, "its start was not answered");
        fixture.tracker.stopAccepted(run, 2 * MILLI);
      }
    };

    abstract void reach(JobFixture fixture, TaskRun run);
  }

  private final JobFixture fixture = new JobFixture();
  private WorkerState worker;
  private TaskRun run;
  private Task task;

  @BeforeEach
  void assign() {
    fixture.submit("holds", 0, step(1, 1_000, 900));
    worker = fixture.worker("b0", BOOKING);
    run = fixture.scheduler.place(0).get(0).run();
    task = run.task();
  }

  @ParameterizedTest
  @EnumSource
  void startThatNewIncarnationHasIsNotRepeated(final Start start) {
    start.reach(fixture, run);
    restart();
    fixture.worker("b1", BOOKING);

    assertThat(fixture.scheduler.place(RESTART), is(empty()));
    report(active());
    assertThat(fixture.scheduler.place(NEXT_REPORT), is(empty()));
    assertThat(task.runs(), is(List.of(run)));
  }

  @Test
  void acceptedStartThatNewIncarnationLacksIsRepeated() {
    Start.ACCEPTED.reach(fixture, run);
    restart();
    fixture.worker("b1", BOOKING);

    report();

    assertThat(fixture.scheduler.place(NEXT_REPORT), hasSize(1));
  }

  @Test
  void runThatEarlierIncarnationHasListedEndsWithIt() {
    Start.ACCEPTED.reach(fixture, run);
    fixture.tracker.applyReport(
        worker, new WorkerReport(1_100, 1, List.of(active()), List.of()), 0, 100 * MILLI, 0);
    restart();
    fixture.worker("b1", BOOKING);

    assertThat(fixture.scheduler.place(RESTART), hasSize(1));
  }

  /** The new incarnation may still execute a start whose stop only the earlier one has executed. */
  @ParameterizedTest
  @EnumSource(names = {"BEING_STOPPED", "STOP_ACCEPTED"})
  void stopIsSentToNewIncarnation(final Start start) {
    start.reach(fixture, run);
    fixture.tracker.takeCommands();

    restart();

    assertThat(fixture.tracker.takeCommands(), is(List.of(new RunCommand.Stop(run))));
  }

  @Test
  void startThatOnlyEarlierIncarnationHasStoppedStillBlocksItsTask() {
    Start.STOP_ACCEPTED.reach(fixture, run);
    restart();
    fixture.worker("b1", BOOKING);

    report();
    assertThat(fixture.scheduler.place(NEXT_REPORT), is(empty()));

    fixture.tracker.stopAccepted(run, NEXT_REPORT);
    fixture.tracker.applyReport(
        worker,
        new WorkerReport(30, 2, List.of(), List.of()),
        NEXT_REPORT + MILLI,
        NEXT_REPORT + 2 * MILLI,
        0);
    assertThat(fixture.scheduler.place(NEXT_REPORT + 2 * MILLI), hasSize(1));
  }

  private void restart() {
    fixture.tracker.workerRestarted(worker, JobFixture.EVIDENCE, RESTART);
  }

  private ActiveRun active() {
    return new ActiveRun(task.id(), run.number(), "", 100, 1_000);
  }

  private void report(final ActiveRun... running) {
    fixture.tracker.applyReport(
        worker, new WorkerReport(10, 2, List.of(running), List.of()), NEXT_POLL, NEXT_REPORT, 0);
  }
}
