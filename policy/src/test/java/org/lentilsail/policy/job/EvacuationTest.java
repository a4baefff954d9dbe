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
 * Guards against workers that are ended while the ends of their runs are not kept: the next holder
 * would run that work again. The store of the soak's seed 4 lost answers while machines moved.
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
    fixture.list(0);
    fixture.submit("holds", 0, step(WORKERS, JobFixture.CORES, 900));
    fixture
        .place(0)
        .forEach(start -> fixture.endWithoutKeeping(start.run(), RunOutcome.DONE, SECOND));
  }

  @Test
  void workerIsEmptyOnceItsEndsAreKept() {
    final WorkerState worker = fixture.fleet.worker("b0");
    assertThat(fixture.evacuation.advance(worker, SECOND, SECOND), is(false));
    worker.finishedRuns().markPersisted(worker.finishedRuns().lastReceived());
    assertThat(fixture.evacuation.advance(worker, SECOND, SECOND), is(true));
  }

  @Test
  void idleMachinesMoveOnlyOnceTheirEndsAreKept() {
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
