package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.policy.job.ActiveRun;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropReason;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.worker.CommandResult;

/**
 * Guards against the start of a run that was abandoned while its command waited for the store or
 * behind other commands, since its task may run elsewhere by then; and against replies of an
 * earlier incarnation of a worker that count as those of the present one (found with review/8).
 */
class WorkerCommandsTest {
  private static final String JOB = "00000000000000a1";
  private static final long RESTART = 2;
  private static final long EARLIER_CLOCK_MILLIS = 480_000;

  private final SessionFixture fixture = new SessionFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void startsExpectedRun() {
    fixture.session.send(new RunCommand.Start(fixture.startedRun(JOB)));
    assertThat(fixture.workers.starts, is(1));
  }

  @Test
  void doesNotStartAbandonedRun() {
    final TaskRun run = fixture.startedRun(JOB);
    final long now = fixture.time.nanos();
    fixture.runTracker.workerLost(
        fixture.worker, new DropEvidence(DropReason.LEASE_EXPIRED, "", now), now);
    fixture.session.send(new RunCommand.Start(run));
    assertThat(fixture.workers.starts, is(0));
  }

  @Test
  void clockOfEarlierIncarnationIsNotUsed() {
    fixture.session.send(new RunCommand.Start(fixture.startedRun(JOB)));
    fixture.restartWorker(RESTART);

    fixture.replyToCommand(CommandResult.DONE, EARLIER_CLOCK_MILLIS);
    fixture.reply(new WorkerReport(10, RESTART, List.of(), List.of()));

    assertThat(
        fixture.worker.clock().estimate(fixture.time.nanos()), lessThan(EARLIER_CLOCK_MILLIS));
  }

  @Test
  void stopThatEarlierIncarnationHasExecutedIsSentAgain() {
    final TaskRun run = fixture.startedRun(JOB);
    fixture.runTracker.startUnconfirmed(run, fixture.time.nanos());
    fixture.session.send(new RunCommand.Stop(run));
    fixture.restartWorker(RESTART);

    fixture.replyToCommand(CommandResult.DONE, EARLIER_CLOCK_MILLIS);

    assertThat(fixture.workers.stops, is(2));
    assertThat(run.confirmedAt(), is(Long.MAX_VALUE));
  }

  /** The earlier address of a worker belongs to another one, while the worker has moved. */
  @Test
  void callToAddressOfEarlierIncarnationDoesNotEndRunsOfPresentOne() {
    final TaskRun running = fixture.startedRun("00000000000000a2");
    fixture.session.send(new RunCommand.Start(fixture.startedRun(JOB)));
    fixture.restartWorker(RESTART);
    fixture.reply(
        new WorkerReport(
            10,
            RESTART,
            List.of(new ActiveRun(running.task().id(), running.number(), "", 100, 1)),
            List.of()));

    fixture.replyToCommand(CommandResult.GONE, -1);

    assertThat(fixture.worker.runs(), is(List.of(running)));
  }
}
