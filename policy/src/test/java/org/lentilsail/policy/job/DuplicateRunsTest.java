package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.MILLI;
import static org.lentilsail.policy.job.JobFixture.gang;
import static org.lentilsail.policy.job.JobFixture.speculative;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lentilsail.model.job.StepSpec;

/**
 * Guards against a second run of a task that nobody ends: one was only looked for when the first
 * was adopted, and only if the second was running at that moment (review/8).
 */
class DuplicateRunsTest {
  private static final int EARLIER_RUN = 1;
  private static final int LATER_RUN = 2;
  private static final long REPORT = 100 * MILLI;

  /** What is known of the later run when the worker of the earlier one reports. */
  private enum Later {
    STARTING(false),
    NOT_ANSWERED(false),
    ACCEPTED(true);

    private final boolean begun;

    Later(final boolean begun) {
      this.begun = begun;
    }

    void reach(final RunTracker tracker, final TaskRun run) {
      if (this == NOT_ANSWERED) {
        tracker.startUnconfirmed(run, MILLI);
      } else if (this == ACCEPTED) {
        tracker.startAccepted(run, MILLI);
      }
    }
  }

  private final JobFixture fixture = new JobFixture();
  private final WorkerState first = fixture.worker("b0", BOOKING);
  private final WorkerState second = fixture.worker("b1", BOOKING);

  @ParameterizedTest
  @EnumSource
  void oneRunStaysWhenFirstIsAdopted(final Later later) {
    final Task task = task(step(1, 1_000, 900), 0);
    final TaskRun laterRun = fixture.tracker.start(task, second, LATER_RUN, 0);
    later.reach(fixture.tracker, laterRun);

    report(first, active(task, EARLIER_RUN));

    final TaskRun earlierRun = RunTracker.find(task, first, EARLIER_RUN);
    assertThat(earlierRun.phase() == RunPhase.STOPPING, is(later.begun));
    assertThat(laterRun.phase() == RunPhase.STOPPING, is(!later.begun));
  }

  /** A later run that begins after the first was adopted is ended at a later report. */
  @Test
  void runThatBeginsAfterAdoptionIsEndedAtNextReport() {
    final Task task = task(step(1, 1_000, 900), 0);
    report(first, active(task, EARLIER_RUN));
    final TaskRun laterRun = fixture.tracker.start(task, second, LATER_RUN, MILLI);
    fixture.tracker.startAccepted(laterRun, 2 * MILLI);

    report(second, active(task, LATER_RUN));

    assertThat(RunTracker.find(task, first, EARLIER_RUN).phase(), is(RunPhase.STOPPING));
    assertThat(laterRun.phase(), is(RunPhase.RUNNING));
  }

  /** A new leader receives the reports of the two workers in any order and keeps the later run. */
  @ParameterizedTest
  @EnumSource
  void newLeaderKeepsLaterRun(final ReportOrder order) {
    final Task task = task(step(1, 1_000, 900), 0);
    if (order == ReportOrder.EARLIER_RUN_FIRST) {
      report(first, active(task, EARLIER_RUN));
      report(second, active(task, LATER_RUN));
    } else {
      report(second, active(task, LATER_RUN));
      report(first, active(task, EARLIER_RUN));
    }

    assertThat(RunTracker.find(task, first, EARLIER_RUN).phase(), is(RunPhase.STOPPING));
    assertThat(RunTracker.find(task, second, LATER_RUN).phase(), is(RunPhase.RUNNING));
  }

  @Test
  void allMembersOfSecondRunOfGangAreEnded() {
    final Task member = task(gang(2), 0);
    final Task otherMember = member.step().tasks().get(1);
    final TaskRun laterRun = fixture.tracker.start(member, second, LATER_RUN, 0);
    final TaskRun otherLaterRun = fixture.tracker.start(otherMember, second, LATER_RUN, 0);

    report(first, active(member, EARLIER_RUN), active(otherMember, EARLIER_RUN));

    assertThat(laterRun.phase(), is(RunPhase.STOPPING));
    assertThat(otherLaterRun.phase(), is(RunPhase.STOPPING));
    assertThat(RunTracker.find(member, first, EARLIER_RUN).phase(), is(RunPhase.RUNNING));
    assertThat(RunTracker.find(otherMember, first, EARLIER_RUN).phase(), is(RunPhase.RUNNING));
  }

  /** The end of the earlier run of a gang arrives while another run of the gang is active. */
  @Test
  void otherRunOfGangThatIsDoneIsEnded() {
    final Task member = task(gang(2), 0);
    final TaskRun laterRun = fixture.tracker.start(member, second, LATER_RUN, 0);
    fixture.tracker.startAccepted(laterRun, MILLI);
    final FinishedRun done = new FinishedRun(1, member.id(), EARLIER_RUN, RunOutcome.DONE, "");

    fixture.tracker.applyReport(
        first, new WorkerReport(1_100, 1, List.of(), List.of(done)), REPORT, REPORT, 0);

    assertThat(laterRun.phase(), is(RunPhase.STOPPING));
  }

  @Test
  void copiesOfSpeculativeTaskStay() {
    final Task task = task(speculative(1), 0);
    final TaskRun copy = fixture.tracker.start(task, second, LATER_RUN, 0);

    report(first, active(task, EARLIER_RUN));

    assertThat(copy.phase(), is(RunPhase.STARTING));
    assertThat(RunTracker.find(task, first, EARLIER_RUN).phase(), is(RunPhase.RUNNING));
  }

  /** Order in which a new leader receives the reports of two workers. */
  private enum ReportOrder {
    EARLIER_RUN_FIRST,
    LATER_RUN_FIRST
  }

  private Task task(final StepSpec step, final int index) {
    return fixture.submit("holds", 0, step).steps().get(0).tasks().get(index);
  }

  private static ActiveRun active(final Task task, final int run) {
    return new ActiveRun(task.id(), run, "", 100, 1_000);
  }

  private void report(final WorkerState worker, final ActiveRun... running) {
    fixture.tracker.applyReport(
        worker, new WorkerReport(1_100, 1, List.of(running), List.of()), MILLI / 2, REPORT, 0);
  }
}
