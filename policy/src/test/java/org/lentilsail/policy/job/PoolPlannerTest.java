package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.SPARE;
import static org.lentilsail.policy.job.JobFixture.STARTER;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against bursts that wait while machines of another pool are idle, and against machines
 * that move back and forth. One queue demands several times the capacity of its pool while the
 * other is idle.
 */
class PoolPlannerTest {
  private static final int WORKERS = 8;

  private final JobFixture fixture = new JobFixture();
  private final PoolPlanner planner =
      new PoolPlanner(fixture.jobs, fixture.fleet, fixture.machines, fixture.evacuation);
  private final PoolLoadCalculator loads = new PoolLoadCalculator(fixture.jobs, fixture.fleet);

  @BeforeEach
  void pools() {
    for (int i = 0; i < WORKERS; i++) {
      fixture.worker("b" + i, BOOKING);
      fixture.worker("s" + i, STARTER);
    }
    for (int i = 0; i < 2; i++) {
      fixture.machine("m-spare" + i, SPARE, "");
    }
    fixture.updateMachines(0);
  }

  @Test
  void burstTakesIdleMachinesOfOtherPool() {
    plan(0);
    submitBurst(SECOND);
    final List<PoolPlanner.Move> moves = plan(SECOND);
    assertThat(moves.size(), greaterThan(2));
    assertThat(moves.stream().map(PoolPlanner.Move::pool).toList(), everyItem(is(BOOKING)));
  }

  @Test
  void otherPoolKeepsItsBaseCapacity() {
    plan(0);
    submitBurst(SECOND);
    final long taken =
        plan(SECOND).stream().filter(move -> move.machine().pool().equals(STARTER)).count();
    assertThat((int) taken, lessThanOrEqualTo(WORKERS - 3));
  }

  @Test
  void doesNotMoveMachinesUnderMaintenance() {
    plan(0);
    submitBurst(SECOND);
    final Set<String> all =
        Set.copyOf(fixture.machines.all().stream().map(machine -> machine.id()).toList());
    assertThat(planner.plan(loads.measure(SECOND), all, SECOND), is(empty()));
  }

  @Test
  void machinesReturnToSparePoolOnlyAfterMinimumStay() {
    assertThat(plan(SECOND), is(empty()));
    assertThat(plan(4 * SECOND).size(), greaterThan(0));
  }

  /** A burst of one queue starts while that of another ends, so idle machines are needed soon. */
  @Test
  void keepsIdleMachinesAtStartOfBurstOfOtherQueue() {
    plan(SECOND);
    for (int i = 0; i < 4; i++) {
      fixture.submit("holds", 3 * SECOND, step(6, 24_000, 600));
    }
    assertThat(toSpare(plan(4 * SECOND)), is(0L));
    fixture.place(4 * SECOND);
    assertThat(toSpare(plan(5 * SECOND)), is(0L));
  }

  @Test
  void singleLargeJobIsNoBurst() {
    plan(0);
    fixture.submit("holds", SECOND, step(8, 8_000, 9_000));
    fixture.place(SECOND);
    assertThat(plan(SECOND), hasSize(0));
  }

  @Test
  void poolWithUnresponsiveWorkersGetsMachines() {
    plan(0);
    fixture.submit("holds", SECOND, step(20, 16_000, 1_000));
    fixture.place(SECOND);
    for (int i = 0; i < WORKERS - 2; i++) {
      fixture.fleet.worker("b" + i).contact().markUnresponsive(SECOND);
    }
    assertThat(plan(SECOND).size(), greaterThan(2));
  }

  /**
   * A leader that has just opened reaches a part of the workers only, while a zone is cut off. The
   * others counted as capacity, so that the pool did not grow.
   */
  @ParameterizedTest
  @CsvSource({"100, 0", "400, 2"})
  void workersThatNewLeaderDoesNotReachAreReplaced(final long millisSinceOpening, final int moves) {
    for (int i = 0; i < WORKERS - 2; i++) {
      final WorkerState worker = fixture.fleet.worker("b" + i);
      worker.reset();
      worker.contact().markUnresponsive(0);
    }
    fixture.submit("holds", 0, step(14, 16_000, 1_000));
    fixture.place(0);
    assertThat(plan(millisSinceOpening * JobFixture.MILLI), hasSize(moves));
  }

  private static long toSpare(final List<PoolPlanner.Move> moves) {
    return moves.stream().filter(move -> move.pool().equals(SPARE)).count();
  }

  private void submitBurst(final long now) {
    for (int i = 0; i < 12; i++) {
      fixture.submit("holds", now, step(6, 12_000, 600));
    }
    fixture.place(now);
  }

  private List<PoolPlanner.Move> plan(final long now) {
    fixture.updateMachines(now);
    return planner.plan(loads.measure(now), Set.of(), now);
  }
}
