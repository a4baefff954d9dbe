package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.policy.job.FinishedRun;
import org.lentilsail.policy.job.RunOutcome;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.worker.CommandResult;

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
    assertThat(fixture.worker.isAvailable(fixture.time.nanos()), is(false));
    fixture.worker.entry(fixture.worker.entry());
    assertThat(fixture.worker.isAvailable(fixture.time.nanos()), is(true));
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
    final long clockMillis = 2_000 + fixture.time.nanos() / 1_000_000;
    fixture.reply(new WorkerReport(clockMillis, startTime, List.of(), List.of(finished)));
  }

  private static FinishedRun finished(
      final long sequence, final TaskRun run, final RunOutcome outcome) {
    return new FinishedRun(sequence, run.task().id(), run.number(), outcome, "");
  }
}
