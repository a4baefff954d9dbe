package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.MILLI;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.STARTER;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.job.Machine;

/**
 * Guards against workers that get no tasks any more: a list of machines lacked a machine while its
 * worker was being evacuated for a move, and the move was forgotten, but not that the worker is
 * kept free of tasks.
 */
class EvacuatingMachineTest {
  private static final int WORKERS = 8;
  private static final long NEXT_LIST = 3 * SECOND + 250 * MILLI;

  private final JobFixture fixture = new JobFixture();
  private final PoolPlanner planner =
      new PoolPlanner(fixture.jobs, fixture.fleet, fixture.machines, fixture.evacuation);
  private final PoolLoadCalculator loads = new PoolLoadCalculator(fixture.jobs, fixture.fleet);
  private String machine;
  private WorkerState worker;

  /** Lets a burst of one pool take machines of the other, each of which has a short run. */
  @BeforeEach
  void beginEvacuation() {
    for (int i = 0; i < WORKERS; i++) {
      fixture.worker("b" + i, BOOKING);
      fixture.worker("s" + i, STARTER);
    }
    fixture.updateMachines(0);
    plan(0);
    fixture.submit("sheets", 0, step(WORKERS, 33_000, 2_000));
    fixture.place(0);
    for (int i = 0; i < 12; i++) {
      fixture.submit("holds", SECOND, step(6, 12_000, 600));
    }
    fixture.place(SECOND);
    plan(SECOND);
    plan(3 * SECOND);
    final List<Machine> evacuating =
        fixture.machines.all().stream().filter(found -> planner.isMoving(found.id())).toList();
    assertThat(evacuating, is(not(empty())));
    machine = evacuating.get(0).id();
    worker = fixture.fleet.worker(evacuating.get(0).worker());
    assertThat(worker.isCordoned(), is(true));
  }

  /** After a crash the worker may start again under its id. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void workerWhoseMachineIsMissingOrDownIsNotKeptFreeOfTasks(final boolean down) {
    if (down) {
      fixture.updateMachinesWithDown(machine, NEXT_LIST);
    } else {
      fixture.updateMachinesWithout(machine, NEXT_LIST);
    }
    planner.plan(loads.measure(NEXT_LIST), Set.of(), NEXT_LIST);
    assertThat(planner.isMoving(machine), is(false));
    assertThat(worker.isCordoned(), is(false));
  }

  private void plan(final long now) {
    fixture.updateMachines(now);
    planner.plan(loads.measure(now), Set.of(), now);
  }
}
