package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.lentilsail.policy.job.JobFixture.SECOND;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.job.WaveRequest;

/**
 * Guards against too many machines down at once, and against stopping more tasks than their
 * availability budget allows.
 */
class WavePlannerTest {
  private final JobFixture fixture = new JobFixture();
  private final WavePlanner planner =
      new WavePlanner(fixture.fleet, fixture.machines, fixture.evacuation);

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void countsMachinesWithUnansweredCommand(final int maxUnavailable) {
    final Wave wave = wave(maxUnavailable, 5);
    plan(wave, 0).forEach(maintenance -> wave.markRequested(maintenance.machine().id(), ""));
    assertThat(plan(wave, SECOND / 10), hasSize(0));
  }

  @Test
  void continuesWhenMachineIsBackWithNewWorker() {
    final Wave wave = wave(1, 2);
    final WavePlanner.Maintenance first = plan(wave, 0).get(0);
    wave.markStarted(first.machine().id(), first.machine().worker(), SECOND);
    assertThat(plan(wave, SECOND / 2), hasSize(0));
    fixture.updateMachines(2 * SECOND);
    assertThat(plan(wave, 2 * SECOND), hasSize(0));
    fixture.replaceWorker(first.machine().id(), "new");
    fixture.updateMachines(3 * SECOND);
    assertThat(plan(wave, 3 * SECOND), hasSize(1));
  }

  /**
   * Guards against more machines down than the wave permits: a list that lacks the machine under
   * maintenance let the next one begin.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void machineMissingFromListIsNotBack(final int maxUnavailable) {
    final Wave wave = wave(maxUnavailable, 6);
    final List<WavePlanner.Maintenance> started = plan(wave, 0);
    assertThat(started, hasSize(greaterThan(0)));
    started.forEach(down -> wave.markStarted(down.machine().id(), down.machine().worker(), SECOND));
    final String missing = started.get(0).machine().id();
    final int startable = maxUnavailable - started.size();

    fixture.updateMachinesWithout(missing, 2 * SECOND);
    assertThat(plan(wave, 2 * SECOND), hasSize(lessThanOrEqualTo(startable)));

    fixture.replaceWorker(missing, "new");
    fixture.updateMachines(3 * SECOND);
    assertThat(plan(wave, 3 * SECOND), hasSize(greaterThan(0)));
  }

  /** A machine that has left for good must not hold up its wave. */
  @Test
  void waveGoesOnWithoutMachineThatHasLeft() {
    final Wave wave = wave(1, 2);
    final WavePlanner.Maintenance first = plan(wave, 0).get(0);
    wave.markStarted(first.machine().id(), first.machine().worker(), SECOND);
    for (int list = 8; list <= 16; list++) {
      fixture.updateMachinesWithout(first.machine().id(), list * SECOND / 4);
      plan(wave, list * SECOND / 4);
    }
    assertThat(plan(wave, 5 * SECOND), hasSize(1));
  }

  @Test
  void countsMachineThatEarlierLeaderMayHaveCommanded() {
    final Wave wave = wave(1, 2);
    assertThat(planner.plan(wave, 0, machine -> false, Set.of("m-w0")), hasSize(0));
  }

  @Test
  void skipsMachineThatListsHaveLackedForLong() {
    final Wave wave = wave(1, 1);
    final Wave other = new Wave(new WaveRequest(2, List.of("m-late"), 20_000, 1), 0);
    plan(other, 0);
    for (int list = 1; list <= 8; list++) {
      assertThat(other.isComplete(), is(false));
      fixture.updateMachines(list * SECOND / 4);
      plan(other, list * SECOND / 4);
    }
    assertThat(other.isComplete(), is(true));
    assertThat(wave.isComplete(), is(false));
  }

  /**
   * Guards against a wave that is completed without a machine that is there: few lists can be read
   * while the platform is slow, and each may lack a machine that is shifted between its pages.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void machineThatFewListsLackIsNotSkipped(final int lists) {
    final Wave wave = wave(1, 1);
    for (int list = 1; list <= lists; list++) {
      fixture.updateMachinesWithout("m-w0", list * 3 * SECOND);
      for (int pass = 0; pass < 10; pass++) {
        plan(wave, list * 3 * SECOND + pass * SECOND / 10);
      }
    }
    assertThat(wave.isComplete(), is(false));
    fixture.updateMachines(12 * SECOND);
    assertThat(plan(wave, 12 * SECOND), hasSize(1));
  }

  @Test
  void respectsAvailabilityBudgetOfLongRunningTasks() {
    final Wave wave = wave(3, 3);
    fixture.submit("holds", 0, JobFixture.longRunning(3, 1, 1));
    fixture.place(0);
    assertThat(plan(wave, 3 * SECOND), hasSize(0));
    plan(wave, 6 * SECOND);
    final long stops =
        fixture.tracker.takeCommands().stream().filter(RunCommand.Stop.class::isInstance).count();
    assertThat(stops, is(1L));
  }

  /**
   * Guards against a wave that ends late, because the last machines run long-running tasks that can
   * only be stopped one after the other.
   */
  @Test
  void movesLongRunningTasksInAdvance() {
    final Wave wave = wave(1, 4);
    fixture.submit("holds", 0, JobFixture.longRunning(2, 0, 1));
    fixture.place(0);
    fixture.worker("other", JobFixture.BOOKING);
    plan(wave, 3 * SECOND);
    final List<RunCommand> stops = fixture.tracker.takeCommands();
    assertThat(stops, hasSize(1));
    fixture.finish(stops.get(0).run(), RunOutcome.STOPPED, 4 * SECOND);
    final List<RunCommand.Start> starts = fixture.place(4 * SECOND);
    assertThat(starts.get(0).run().worker().id(), is("other"));
  }

  @Test
  void doesNotEvacuateWorkerWithUnknownRuns() {
    final Wave wave = wave(1, 1);
    fixture.fleet.worker("w0").reset();
    assertThat(plan(wave, SECOND), hasSize(0));
  }

  private Wave wave(final int maxUnavailable, final int machines) {
    final String[] ids = new String[machines];
    for (int i = 0; i < machines; i++) {
      fixture.worker("w" + i, JobFixture.BOOKING);
      ids[i] = "m-w" + i;
    }
    fixture.updateMachines(0);
    return new Wave(new WaveRequest(1, List.of(ids), 20_000, maxUnavailable), 0);
  }

  private List<WavePlanner.Maintenance> plan(final Wave wave, final long now) {
    return planner.plan(wave, now, machine -> false, Set.of());
  }
}
