package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.TaskId;

/** Guards against usage that differs from the runs that may exist, whatever happens to them. */
class QuotaLedgerTest {
  private static final String ACME = "acme";
  private static final Resources LIMIT = new Resources(20_000, 30_000, 0);
  private static final int STEPS = 2_000;

  private final JobFixture fixture = new JobFixture();
  private long now;

  @BeforeEach
  void start() {
    for (int worker = 0; worker < 4; worker++) {
      fixture.worker("w" + worker, BOOKING);
    }
    fixture.organisations(new Organisation(ACME, List.of(), 0, LIMIT));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void usageIsTheDemandOfAllRuns(final long seed) {
    final Random random = new Random(seed);
    for (int i = 0; i < STEPS; i++) {
      now += SECOND / 20;
      act(random);
      assertThat(used(), is(demandOfRuns()));
      assertThat(used().cpuMillis(), is(lessThanOrEqualTo(LIMIT.cpuMillis())));
      assertThat(used().memoryMb(), is(lessThanOrEqualTo(LIMIT.memoryMb())));
    }
  }

  /** Tasks that may run on a worker that has not been polled count until it is known what runs. */
  @Test
  void tasksOfUnpolledWorkersCountUntilTheyArePolledOrTheirLeaseHasExpired() {
    final JobRun job = fixture.submitFor(ACME, "holds", 0, step(20, 1_000, 500));
    fixture.gate.close(Map.of("w0", ids(job, 0, 6), "lost", ids(job, 6, 12)), 0, 6 * SECOND);
    fixture.gate.charge(fixture.jobs);
    fixture.gate.charge(fixture.jobs);
    assertThat(used(), is(new Resources(12_000, 12_000, 0)));
    assertThat(fixture.scheduler.place(0), hasSize(8));

    adopt(job, 0, 4);
    assertThat(used(), is(new Resources(18_000, 18_000, 0)));
    fixture.gate.expire(6 * SECOND - 1);
    assertThat(used(), is(new Resources(18_000, 18_000, 0)));
    fixture.gate.expire(6 * SECOND);
    assertThat(used(), is(new Resources(12_000, 12_000, 0)));
    assertThat(used(), is(demandOfRuns()));
    assertThat(fixture.scheduler.place(6 * SECOND), hasSize(8));
    assertThat(fixture.scheduler.place(6 * SECOND), is(empty()));
  }

  /**
   * A job cancelled before the change of the leader may still have runs; unknown tasks have none.
   */
  @Test
  void tasksOfCancelledJobCountUntilTheirWorkerIsPolled() {
    final JobRun job = fixture.submitFor(ACME, "holds", 0, step(20, 1_000, 500));
    fixture.jobs.cancel(job.id(), 0);
    final List<TaskId> placed = new ArrayList<>(ids(job, 0, 20));
    placed.add(new TaskId("ffffffffffffffff", 0, 0, 0));
    placed.add(new TaskId(job.id(), 0, 1, 0));
    fixture.gate.close(Map.of("lost", placed), 0, 6 * SECOND);
    fixture.gate.charge(fixture.jobs);
    fixture.submitFor(ACME, "holds", 0, step(1, 1_000, 500));
    assertThat(fixture.place(0), is(empty()));
    fixture.gate.resolved("lost", JobFixture.EVIDENCE, 0);
    assertThat(fixture.place(0), hasSize(1));
  }

  private void act(final Random random) {
    final List<TaskRun> runs = new ArrayList<>();
    fixture.fleet.workers().forEach(worker -> runs.addAll(worker.runs()));
    final TaskRun run = runs.isEmpty() ? null : runs.get(random.nextInt(runs.size()));
    switch (random.nextInt(run == null ? 2 : 10)) {
      case 0 -> fixture.submitFor(ACME, "holds", now, randomStep(random));
      case 1 -> fixture.scheduler.place(now);
      case 2 -> fixture.tracker.startRejected(run, JobFixture.EVIDENCE, now);
      case 3 -> fixture.tracker.startUnconfirmed(run, now);
      case 4 -> fixture.tracker.stop(run, "test");
      case 5 -> fixture.finish(run, RunOutcome.FAILED, now);
      case 6 -> fixture.finish(run, RunOutcome.DONE, now);
      case 7 -> fixture.tracker.startAccepted(run, now);
      case 8 -> fixture.jobs.cancel(run.task().id().job(), 0);
      default -> {
        if (random.nextInt(10) == 0) {
          fixture.tracker.workerRestarted(run.worker(), JobFixture.EVIDENCE, now);
          run.worker().markSynced();
        }
      }
    }
  }

  private static StepSpec randomStep(final Random random) {
    return switch (random.nextInt(5)) {
      case 0 -> JobFixture.gang(1 + random.nextInt(8));
      case 1 -> JobFixture.speculative(1 + random.nextInt(8));
      case 2 -> JobFixture.longRunning(1 + random.nextInt(3), 0, 1);
      case 3 -> JobFixture.bestEffort();
      default -> step(1 + random.nextInt(8), 500 + random.nextInt(4_000), 100);
    };
  }

  private static List<TaskId> ids(final JobRun job, final int from, final int to) {
    return job.steps().get(0).tasks().subList(from, to).stream().map(Task::id).toList();
  }

  private void adopt(final JobRun job, final int from, final int to) {
    final List<ActiveRun> running =
        ids(job, from, to).stream().map(id -> new ActiveRun(id, 1, "", 100, 1_000)).toList();
    final WorkerState worker = fixture.fleet.worker("w0");
    final List<TaskRun> placed = List.copyOf(worker.runs());
    placed.forEach(run -> fixture.tracker.startUnconfirmed(run, 0));
    fixture.tracker.applyReport(worker, new WorkerReport(1_000, 1, running, List.of()), 0, 0, 0);
    fixture.gate.resolved("w0", JobFixture.EVIDENCE, 0);
  }

  private Resources used() {
    return fixture.jobs.accounts().account(ACME).used();
  }

  private Resources demandOfRuns() {
    Resources sum = Resources.NONE;
    for (final WorkerState worker : fixture.fleet.workers()) {
      for (final TaskRun run : worker.runs()) {
        sum = sum.plus(run.task().step().spec().demand());
      }
    }
    return sum;
  }
}
