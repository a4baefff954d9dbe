package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against terminating a worker before its finished runs are persisted, after which the next
 * leader would run that work again. This happened when responses of the store were lost while
 * machines moved (soak with seed 4).
 */
class EvacuationTest {
  private static final int WORKERS = 6;

  private final JobFixture fixture = new JobFixture();
  private final PoolPlanner planner =
      new PoolPlanner(fixture.jobs, fixture.fleet, fixture.machines, fixture.evacuation);
  private final PoolLoadCalculator loads = new PoolLoadCalculator(fixture.jobs, fixture.fleet);

  @BeforeEach
  void pool() {
    for (int i = 0; i < WORKERS; i++) {
      fixture.worker("b" + i, BOOKING);
    }
    fixture.updateMachines(0);
    fixture.submit("holds", 0, step(WORKERS, JobFixture.CORES, 900));
    fixture
        .place(0)
        .forEach(start -> fixture.finishWithoutPersisting(start.run(), RunOutcome.DONE, SECOND));
  }

  @Test
  void workerIsSafeToTerminateOnceFinishedRunsArePersisted() {
    final WorkerState worker = fixture.fleet.worker("b0");
    assertThat(fixture.evacuation.advance(worker, SECOND, SECOND), is(false));
    worker.finishedRuns().markPersisted(worker.finishedRuns().lastReceived());
    assertThat(fixture.evacuation.advance(worker, SECOND, SECOND), is(true));
  }

  @Test
  void idleMachinesMoveOnlyOnceFinishedRunsArePersisted() {
    planner.plan(loads.measure(SECOND), Set.of(), SECOND);
    assertThat(planner.plan(loads.measure(9 * SECOND), Set.of(), 9 * SECOND), is(empty()));
    fixture
        .fleet
        .workers()
        .forEach(
            worker -> worker.finishedRuns().markPersisted(worker.finishedRuns().lastReceived()));
    final long later = 10 * SECOND;
    assertThat(planner.plan(loads.measure(later), Set.of(), later).isEmpty(), is(false));
  }
}
