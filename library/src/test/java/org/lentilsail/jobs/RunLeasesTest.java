package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.policy.job.ActiveRun;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.worker.CommandResult;

/** Guards against runs that count as ended while the lease of their worker may still be valid. */
class RunLeasesTest {
  private static final long CLOCK_MILLIS = 10_000;

  private final SessionFixture fixture = new SessionFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  /** A start extends the lease of all runs of the worker, also one that the worker rejects. */
  @ParameterizedTest
  @EnumSource(names = {"DONE", "UNKNOWN", "NO_ROOM", "OUTDATED"})
  void expiryOfStartCountsWhateverItsReply(final CommandResult result) {
    final TaskRun running = fixture.startedRun("00000000000000a1");
    listFor(Duration.ofSeconds(6), running);
    fixture.advance(Duration.ofMillis(3_000));
    fixture.session.send(new RunCommand.Start(fixture.startedRun("00000000000000a2")));
    fixture.replyToCommand(result, -1);
    fixture.failPoll(CommandResult.UNKNOWN);
    fixture.advance(Duration.ofMillis(700));

    fixture.session.tick(fixture.time.nanos());
    assertThat(fixture.worker.runs(), hasItem(running));

    fixture.advance(Duration.ofMillis(3_000));
    fixture.session.tick(fixture.time.nanos());
    assertThat(fixture.worker.runs(), not(hasItem(running)));
  }

  /**
   * The new incarnation of a worker that has not reported yet may have executed starts. The leader
   * dropped them all as soon as a command had shown the clock of that one, of whose leases it knew
   * none, and never if no command was answered.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void startsOfRestartedWorkerHoldLongestLease(final boolean clockRead) {
    listFor(Duration.ofSeconds(6), fixture.startedRun("00000000000000a1"));
    final TaskRun begun = fixture.startedRun("00000000000000a2");
    final TaskRun stopped = fixture.startedRun("00000000000000a3");
    fixture.session.send(new RunCommand.Start(begun));
    fixture.session.send(new RunCommand.Start(stopped));
    fixture.restartWorker(2);
    if (clockRead) {
      fixture.session.send(new RunCommand.Stop(stopped));
      fixture.replyToCommand(CommandResult.DONE, 50);
    }
    fixture.failPoll(CommandResult.UNKNOWN);
    fixture.advance(Duration.ofMillis(5_000));

    fixture.session.tick(fixture.time.nanos());
    assertThat(fixture.worker.runs(), hasItem(begun));

    fixture.advance(Duration.ofMillis(1_200));
    fixture.session.tick(fixture.time.nanos());
    assertThat(fixture.worker.runs(), is(empty()));
  }

  /** Lists a run in reports until the lease that an earlier leader may have granted has expired. */
  private void listFor(final Duration time, final TaskRun running) {
    fixture.session.poll();
    final long end = fixture.time.nanos() + time.toNanos();
    while (fixture.time.nanos() < end) {
      fixture.reply(report(running));
    }
  }

  private WorkerReport report(final TaskRun running) {
    return new WorkerReport(
        CLOCK_MILLIS + fixture.time.nanos() / 1_000_000,
        1,
        List.of(new ActiveRun(running.task().id(), running.number(), "", 100, 1)),
        List.of());
  }
}
