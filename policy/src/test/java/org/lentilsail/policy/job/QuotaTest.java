package org.lentilsail.policy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.CORES;
import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.gang;
import static org.lentilsail.policy.job.JobFixture.longRunning;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.QueueSpec;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;

/**
 * Guards against an organisation that has more running than its quota, against work of others that
 * waits for an organisation at its quota, and against usage that is counted twice or never ends.
 */
class QuotaTest {
  private static final String ACME = "acme";
  private static final String OTHER = "other";
  private static final Resources TWO_TASKS = new Resources(2_000, 0, 0);

  private final JobFixture fixture = new JobFixture();

  @BeforeEach
  void start() {
    fixture.worker("w1", BOOKING);
    fixture.worker("w2", BOOKING);
    limit(TWO_TASKS);
  }

  @ParameterizedTest
  @CsvSource({"2000, 0, 2", "2999, 0, 2", "0, 3000, 3", "5000, 1999, 1", "999, 0, 0", "0, 0, 4"})
  void startsTasksUpToTheLimitInEachComponent(final long cpu, final long memory, final int starts) {
    limit(new Resources(cpu, memory, 0));
    fixture.submitFor(ACME, "holds", 0, step(4, 1_000, 500));
    assertThat(fixture.place(0), hasSize(starts));
    assertThat(fixture.place(0), is(empty()));
  }

  /** Guards against a start beside a run that has possibly not ended. */
  @ParameterizedTest
  @EnumSource
  void runCountsInEachPhaseUntilItIsKnownToHaveEnded(final RunPhase phase) {
    limit(new Resources(1_000, 0, 0));
    fixture.submitFor(ACME, "holds", 0, step(1, 1_000, 500));
    final TaskRun run = fixture.scheduler.place(0).get(0).run();
    switch (phase) {
      case UNCONFIRMED -> fixture.tracker.startUnconfirmed(run, 0);
      case RUNNING -> fixture.tracker.startAccepted(run, 0);
      case STOPPING -> fixture.tracker.stop(run, "test");
      default -> {}
    }
    assertThat(run.phase(), is(phase));
    fixture.submitFor(ACME, "holds", 0, step(1, 1_000, 500));
    assertThat(fixture.place(SECOND), is(empty()));
    fixture.finish(run, RunOutcome.DONE, SECOND);
    assertThat(fixture.place(SECOND), hasSize(1));
  }

  @Test
  void bestEffortTaskCountsWithItsCpu() {
    limit(new Resources(6_000, 0, 0));
    fixture.submitFor(ACME, "holds", 0, JobFixture.bestEffort());
    assertThat(fixture.place(0), hasSize(1));
    fixture.submitFor(ACME, "holds", 0, step(1, 1, 500));
    assertThat(fixture.place(0), is(empty()));
  }

  @ParameterizedTest
  @CsvSource({"1999, 0", "2000, 1"})
  void copyCounts(final long cpu, final int copies) {
    limit(new Resources(3_000, 0, 0));
    fixture.submitFor(ACME, "holds", 0, JobFixture.speculative(3));
    final List<RunCommand.Start> starts = fixture.place(0);
    fixture.finish(starts.get(0).run(), RunOutcome.DONE, SECOND);
    fixture.finish(starts.get(1).run(), RunOutcome.DONE, SECOND);
    limit(new Resources(cpu, 0, 0));
    assertThat(fixture.place(3 * SECOND), hasSize(copies));
    assertThat(used().cpuMillis(), is(1_000L + 1_000L * copies));
  }

  @ParameterizedTest
  @CsvSource({"2, 0", "3, 3"})
  void gangStartsWholeOrNotAtAll(final int room, final int starts) {
    final StepSpec gang = gang(3);
    limit(new Resources(gang.demand().cpuMillis() * room, 0, 0));
    fixture.submitFor(ACME, "holds", 0, gang);
    assertThat(fixture.place(0), hasSize(starts));
  }

  @Test
  void loweredLimitStopsNothingAndStartsNothing() {
    fixture.submitFor(ACME, "holds", 0, step(3, 1_000, 500));
    final List<RunCommand.Start> starts = fixture.place(0);
    limit(new Resources(1_000, 0, 0));
    fixture.place(SECOND);
    assertThat(fixture.tracker.takeCommands(), is(empty()));
    fixture.finish(starts.get(0).run(), RunOutcome.DONE, SECOND);
    assertThat(fixture.place(SECOND), is(empty()));
    fixture.finish(starts.get(1).run(), RunOutcome.DONE, SECOND);
    assertThat(fixture.place(SECOND), hasSize(1));
  }

  /**
   * Guards against a long-running task stopped for maintenance that its quota keeps from starting.
   */
  @Test
  void loweredLimitKeepsLongRunningTaskOnWorkerWithPendingMaintenance() {
    limit(Resources.NONE);
    fixture.submitFor(ACME, "holds", 0, longRunning(1, 0, 1));
    final WorkerState worker = fixture.place(0).get(0).run().worker();
    worker.maintenancePending(true);
    limit(new Resources(5_999, 0, 0));
    fixture.evacuation.moveLongRunning(worker, 10 * SECOND);
    assertThat(fixture.tracker.takeCommands(), is(empty()));
    limit(new Resources(6_000, 0, 0));
    fixture.evacuation.moveLongRunning(worker, 10 * SECOND);
    assertThat(fixture.tracker.takeCommands(), hasSize(1));
  }

  @Test
  void heldWorkBlocksNothingBehindIt() {
    fixture.submitFor(ACME, "holds", 0, longRunning(1, 0, 1));
    fixture.submitFor(ACME, "holds", 0, step(9, 1_000, 500));
    fixture.submitFor(ACME, "holds", 0, gang(3));
    fixture.submitFor(OTHER, "holds", 0, step(3, 1_000, 500));
    fixture.submit("holds", 0, step(5, 1_000, 500));
    assertThat(fixture.place(0), hasSize(2 + 3 + 5));
  }

  @ParameterizedTest
  @CsvSource({"6000, 1", "5999, 0"})
  void heldLongRunningTaskDoesNotPreempt(final long cpu, final int stopped) {
    limit(new Resources(cpu, 0, 0));
    fixture.submit("holds", 0, step(8, 16_000, 9_000));
    fixture.place(0);
    fixture.submitFor(ACME, "holds", 0, longRunning(1, 0, 1));
    fixture.place(2 * SECOND);
    assertThat(fixture.tracker.takeCommands(), hasSize(stopped));
  }

  /** Guards against runs lost to a task that waited for its quota and not for capacity. */
  @Test
  void timeHeldByQuotaIsNoReasonToPreempt() {
    fixture.submit("holds", 0, step(8, 16_000, 9_000));
    fixture.place(0);
    fixture.submitFor(ACME, "holds", 0, longRunning(1, 0, 1));
    fixture.place(2 * SECOND);
    limit(new Resources(6_000, 0, 0));
    fixture.place(2 * SECOND + SECOND / 2);
    assertThat(fixture.tracker.takeCommands(), is(empty()));
    fixture.place(3 * SECOND);
    assertThat(fixture.tracker.takeCommands(), hasSize(1));
  }

  @Test
  void heldWorkIsNoDemandForMachines() {
    fixture.submitFor(ACME, "holds", 0, step(1, 1_000, 500));
    fixture.submitFor(ACME, "holds", 0, step(50, 1_000, 500));
    fixture.submitFor(ACME, "holds", 0, longRunning(4, 1, 1));
    final PoolLoad load = load(0);
    assertThat(load.waitingTasks(), is(2));
    assertThat(load.waitingCpu(), is(2_000L));
    assertThat(load.arrivingCpu(), is(625L));
    assertThat(load.longRunning(), is(Resources.NONE));
    assertThat(load.minWorkers(), is(0));
    fixture.place(0);
    assertThat(load(0).waitingTasks(), is(0));
  }

  /** Guards against requests to the advice service, which answers one at a time, for held work. */
  @ParameterizedTest
  @CsvSource({"1000, 0", "1999, 0", "2000, 2", "0, 2"})
  void heldWorkRequestsNoPermit(final long cpu, final int workers) {
    limit(new Resources(1_000, 0, 0));
    fixture.submitFor(ACME, "holds", 0, step(1, 1_000, 500));
    fixture.place(0);
    limit(new Resources(cpu, 0, 0));
    final JobRun job = fixture.submitFor(ACME, "holds", 0, step(CORES / 500, 1_000, 500));
    job.updateQueue(new QueueSpec("holds", "", "", BOOKING, 0, 2, 1.6, 600, true, false));
    final int asked =
        new AdvicePlanner(fixture.jobs, fixture.fleet)
            .next(0)
            .map(request -> request.workers().size())
            .orElse(0);
    assertThat(asked, is(workers));
  }

  @ParameterizedTest
  @CsvSource({"1, 2500, LIMIT_IN_USE", "2, 2000, EXCEEDS_LIMIT", "3, 3000, EXCEEDS_LIMIT"})
  void heldJobTellsItsReason(final int gangSize, final long cpu, final QuotaHold reason) {
    limit(new Resources(cpu, 0, 0));
    fixture.submitFor(ACME, "holds", 0, step(2, 1_000, 500));
    fixture.place(0);
    final IdleJobs idleJobs = new IdleJobs(fixture.jobs, fixture.fleet);
    final JobRun held =
        fixture.submitFor(
            ACME,
            "holds",
            0,
            StepSpecBuilder.tasks(gangSize).demand(1_001, 1).estimateMillis(9).gang().build());
    final List<IdleJob> found = idleJobs.find(2 * SECOND);
    assertThat(found, hasSize(1));
    assertThat(found.get(0).job(), is(held.id()));
    assertThat(found.get(0).quota(), is(reason));
    assertThat(idleJobs.heldByOrganisation().get(ACME), is(1));
  }

  /** Guards against jobs held by a quota that hide one that no worker takes. */
  @Test
  void heldJobsDoNotHideJobWithoutWorker() {
    fixture.submitFor(ACME, "holds", 0, step(2, 1_000, 500));
    fixture.place(0);
    for (int i = 0; i < 5; i++) {
      fixture.submitFor(ACME, "holds", 0, step(1, 1_000, 500));
    }
    final JobRun stuck = fixture.submit("holds", SECOND, step(1, CORES + 1, 500));
    final List<IdleJob> found = new IdleJobs(fixture.jobs, fixture.fleet).find(3 * SECOND);
    assertThat(found, hasSize(4));
    assertThat(found.get(0).job(), is(stuck.id()));
  }

  /** Guards against attempts used up on faulty workers after a wait that the quota caused. */
  @ParameterizedTest
  @CsvSource({
    "2000, false, 0",
    "2001, false, 1",
    "0, false, 1",
    "12000, true, 0",
    "12001, true, 1"
  })
  void waitLimitAppliesBelowHalfOfTheLimit(
      final long cpu, final boolean longRunning, final int starts) {
    limit(new Resources(cpu, 0, 0));
    fixture.submitFor(ACME, "holds", 0, longRunning ? longRunning(1, 0, 1) : step(1, 1_000, 500));
    fixture.place(0);
    fixture.fleet.workers().forEach(worker -> worker.health().quarantine(SECOND));
    fixture.submitFor(ACME, "holds", 0, longRunning ? longRunning(1, 0, 1) : step(1, 900, 500));
    assertThat(fixture.place(3 * SECOND), hasSize(starts));
  }

  @Test
  void removedOrganisationHasNoLimit() {
    fixture.submitFor(ACME, "holds", 0, step(4, 1_000, 500));
    fixture.organisations();
    assertThat(fixture.place(0), hasSize(4));
  }

  /** Guards against unlimited starts of a leader that has received no configuration yet. */
  @Test
  void withoutConfigurationNoWorkOfAnOrganisationStarts() {
    final JobRegistry jobs = new JobRegistry();
    final OrganisationAccount account = jobs.accounts().account(ACME);
    assertThat(account.hold(step(1, 1, 1)), is(QuotaHold.LIMIT_UNKNOWN));
    assertThat(account.room(step(1, 1, 1), Resources.NONE, 9), is(0));
    assertThat(jobs.accounts().account("").hold(step(1, 1, 1)), is(QuotaHold.NONE));
  }

  private void limit(final Resources limit) {
    fixture.organisations(
        new Organisation(ACME, List.of(), 0, limit),
        new Organisation(OTHER, List.of(), 0, Resources.NONE));
  }

  private Resources used() {
    return fixture.jobs.accounts().account(ACME).used();
  }

  private PoolLoad load(final long now) {
    return new PoolLoadCalculator(fixture.jobs, fixture.fleet)
        .measure(now).stream()
            .filter(load -> load.service().equals(BOOKING))
            .findFirst()
            .orElseThrow();
  }
}
