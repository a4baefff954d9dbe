package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.policy.job.FinishedRun;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunOutcome;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.worker.CommandResult;
import org.lentilsail.worker.PollReply;

/** Guards against finished runs that are acknowledged never, or before they were received. */
class WorkerSessionTest {
  private static final long FIRST_START = 1;
  private static final long SECOND_START = 2;

  private final SessionFixture fixture = new SessionFixture();
  private TaskRun first;
  private TaskRun second;

  @BeforeEach
  void start() {
    first = fixture.startedRun("00000000000000a1");
    second = fixture.startedRun("00000000000000a2");
    fixture.session.poll();
    reply(FIRST_START, finished(1, first, RunOutcome.DONE));
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void acknowledgesFinishedRunOnceItIsPersisted() {
    assertThat(acknowledged(), is(0L));
    persist();
    assertThat(acknowledged(), is(1L));
  }

  /**
   * A finished run without an effect to persist arrives while an earlier one is being persisted:
   * neither it nor any later one of that kind was acknowledged, and the machine could not be moved.
   */
  @Test
  void acknowledgesRunReportedWhileEarlierOneIsPersisted() {
    reply(
        FIRST_START, finished(1, first, RunOutcome.DONE), finished(2, second, RunOutcome.STOPPED));
    persist();
    assertThat(acknowledged(), is(2L));
    assertThat(fixture.worker.isSafeToTerminate(), is(true));
  }

  /**
   * The numbers of finished runs begin anew when a worker restarts: the effect of one of the
   * earlier incarnation was persisted, and one of the present incarnation was acknowledged before
   * its own.
   */
  @Test
  void doesNotAcknowledgeRunForOneOfEarlierIncarnation() {
    reply(SECOND_START);
    reply(SECOND_START, finished(1, second, RunOutcome.DONE));
    fixture.awaitingPersistence.remove(0).run();
    fixture.session.poll();
    assertThat(acknowledged(), is(0L));
    persist();
    assertThat(acknowledged(), is(1L));
  }

  /**
   * A restarted worker that has not been noticed yet would discard finished runs that were never
   * received, and their tasks would run again (found with review/8).
   */
  @Test
  void executedAcknowledgementIsNotRepeated() {
    persist();
    reply(FIRST_START);
    assertThat(acknowledged(), is(0L));
  }

  @Test
  void workerThatDidNotRespondGetsNoAcknowledgement() {
    persist();
    fixture.failPoll(CommandResult.UNKNOWN);
    assertThat(acknowledged(), is(0L));
    reply(FIRST_START, finished(1, first, RunOutcome.DONE));
    assertThat(acknowledged(), is(1L));
  }

  /** A restarted worker may have other labels and another capacity than its registry entry. */
  @Test
  void workerGetsNoTasksUntilEntryOfItsPresentIncarnationIsKnown() {
    assertThat(fixture.worker.isAvailable(fixture.time.nanos()), is(true));
    reply(SECOND_START);
    reply(SECOND_START);
    assertThat(fixture.worker.isAvailable(fixture.time.nanos()), is(false));
    fixture.worker.entry(fixture.worker.entry());
    assertThat(fixture.worker.isAvailable(fixture.time.nanos()), is(true));
  }

  /**
   * Calls to the earlier incarnation may be executed until the present one has received a raised
   * token, so a report from before that does not show what it holds (found with issue 45).
   */
  @Test
  void reportThatShowsRestartIsAskedForAgainWithRaisedToken() {
    final long token = fixture.workers.lastPoll.token();
    reply(SECOND_START, finished(1, second, RunOutcome.DONE));
    assertThat(fixture.worker.isSynced(), is(false));
    assertThat(fixture.worker.finishedRuns().lastReceived(), is(0L));
    assertThat(fixture.workers.lastPoll.token(), greaterThan(token));
    reply(SECOND_START, finished(1, second, RunOutcome.DONE));
    assertThat(fixture.worker.isSynced(), is(true));
    assertThat(fixture.worker.finishedRuns().lastReceived(), is(1L));
  }

  /** The answer to a poll from before a restart arrives after the registry has shown it. */
  @Test
  void reportOfPollFromBeforeRestartIsIgnored() {
    final CompletableFuture<PollReply> earlier = fixture.workers.lastReply;
    fixture.restartWorker(SECOND_START);
    fixture.reply(earlier, report(SECOND_START));
    assertThat(fixture.worker.isSynced(), is(false));
    reply(SECOND_START);
    assertThat(fixture.worker.isSynced(), is(true));
  }

  /** A worker that refuses an earlier call of this leader does not show another leader. */
  @Test
  void onlyCallWithPresentTokenShowsLossOfLeadership() {
    final CompletableFuture<PollReply> earlier = fixture.workers.lastReply;
    fixture.restartWorker(SECOND_START);
    fixture.failPoll(earlier, CommandResult.FENCED);
    assertThat(fixture.fencedCalls, is(0));
    assertThat(fixture.worker.isResponding(), is(true));
    fixture.failPoll(CommandResult.FENCED);
    assertThat(fixture.fencedCalls, is(1));
  }

  @ParameterizedTest
  @CsvSource({"false, 1", "true, 0"})
  void onlyCommandWithPresentTokenShowsLossOfLeadership(
      final boolean restarted, final int fencedCalls) {
    fixture.session.send(new RunCommand.Start(second));
    if (restarted) {
      fixture.restartWorker(SECOND_START);
    }
    fixture.replyToCommand(CommandResult.FENCED, 2_000);
    assertThat(fixture.fencedCalls, is(fencedCalls));
    assertThat(fixture.worker.runs().contains(second), is(false));
  }

  private long acknowledged() {
    return fixture.workers.lastPoll.acknowledgedSequence();
  }

  private void persist() {
    final List<Runnable> actions = List.copyOf(fixture.awaitingPersistence);
    fixture.awaitingPersistence.clear();
    actions.forEach(Runnable::run);
    fixture.session.poll();
  }

  private void reply(final long startTime, final FinishedRun... finished) {
    fixture.reply(report(startTime, finished));
  }

  private WorkerReport report(final long startTime, final FinishedRun... finished) {
    final long clockMillis = 2_000 + fixture.time.nanos() / 1_000_000;
    return new WorkerReport(clockMillis, startTime, List.of(), List.of(finished));
  }

  private static FinishedRun finished(
      final long sequence, final TaskRun run, final RunOutcome outcome) {
    return new FinishedRun(sequence, run.task().id(), run.number(), outcome, "");
  }
}
