package org.lentilsail.policy.job;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.QueueSpec;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.ServiceSpec;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.job.WorkerEntry;

/** Jobs, workers and machines of two services and a spare pool, for scheduling tests. */
final class JobFixture {
  static final String BOOKING = "booking";
  static final String STARTER = "starter";
  static final String SPARE = "spare";
  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000 * MILLI;

  /** Stands for what shows the end of runs, where the test is not about it. */
  static final DropEvidence EVIDENCE = new DropEvidence(DropReason.LEASE_EXPIRED, "seen", 0);

  static final int CORES = 64_000;

  private static final int LONG_RUNNING_CPU_MILLIS = 6_000;

  final JobRegistry jobs = new JobRegistry();
  final Fleet fleet = new Fleet();
  final MachineInventory machines = new MachineInventory();
  final RunTracker tracker = new RunTracker(jobs, new RunNumbers(1));
  final RecoveryGate gate = new RecoveryGate();
  final Scheduler scheduler = new Scheduler(jobs, fleet, tracker, gate);
  final Evacuation evacuation = new Evacuation(tracker, fleet, jobs);
  private final List<Machine> currentMachines = new ArrayList<>();
  private int jobCount;

  JobFixture() {
    organisations();
  }

  /** Applies a configuration with just these organisations. */
  void organisations(final Organisation... organisations) {
    jobs.configuration(
        new JobConfiguration(
            1,
            List.of(queue("holds", BOOKING, 0), queue("sheets", STARTER, 1)),
            List.of(
                new ServiceSpec(BOOKING, true, false),
                new ServiceSpec(STARTER, true, false),
                new ServiceSpec(SPARE, true, true)),
            0,
            List.of(organisations)));
  }

  /** Adds a machine with a worker that responds. */
  WorkerState worker(final String id, final String service) {
    return worker(id, service, "rack-1");
  }

  WorkerState worker(final String id, final String service, final String rack) {
    final Resources capacity = new Resources(CORES, 256_000, 0);
    final WorkerState worker =
        new WorkerState(
            new WorkerEntry(
                id,
                service,
                InetSocketAddress.createUnresolved("10.0.0.1", 80),
                "north",
                false,
                capacity,
                List.of("a", rack),
                1),
            0);
    worker.contact().markResponding();
    worker.markSynced();
    worker.clock().recordReading(1_000, 0);
    fleet.add(worker);
    machine("m-" + id, service, id);
    return worker;
  }

  /** Adds a machine with the id of its worker, which is empty if it has none. */
  void machine(final String id, final String pool, final String worker) {
    currentMachines.add(
        new Machine(
            id,
            pool,
            MachineState.UP,
            "north",
            List.of(),
            new Resources(CORES, 256_000, 0),
            worker));
  }

  /** Replaces the worker of a machine, as happens after maintenance. */
  void replaceWorker(final String machine, final String worker) {
    currentMachines.replaceAll(
        old ->
            old.id().equals(machine)
                ? new Machine(
                    old.id(),
                    old.pool(),
                    old.state(),
                    old.zone(),
                    old.labels(),
                    old.capacity(),
                    worker)
                : old);
  }

  /** Updates the inventory with the current machines. */
  void updateMachines(final long now) {
    machines.replace(currentMachines, now);
  }

  /** Updates the inventory with a list that shows a machine as crashed. */
  void updateMachinesWithDown(final String machine, final long now) {
    machines.replace(
        currentMachines.stream()
            .map(
                other ->
                    other.id().equals(machine)
                        ? new Machine(
                            other.id(),
                            other.pool(),
                            MachineState.DOWN,
                            other.zone(),
                            other.labels(),
                            other.capacity(),
                            "")
                        : other)
            .toList(),
        now);
  }

  /** Updates the inventory with a list that lacks a machine, as it is read in pages. */
  void updateMachinesWithout(final String machine, final long now) {
    machines.replace(
        currentMachines.stream().filter(other -> !other.id().equals(machine)).toList(), now);
  }

  /** Creates an organisation without quota. */
  static Organisation organisation(final String name, final double weight) {
    return new Organisation(name, List.of(), weight, Resources.NONE);
  }

  JobRun submit(final String queue, final long now, final StepSpec... steps) {
    return submitFor("", queue, now, steps);
  }

  JobRun submitFor(
      final String organisation, final String queue, final long now, final StepSpec... steps) {
    jobCount++;
    final String id = String.format("%016x", jobCount);
    final String service = queue.equals("holds") ? BOOKING : STARTER;
    return jobs.accept(
        new SubmittedJob(
            queue,
            service,
            now / MILLI,
            new JobSpec(id, "work", List.of(steps), 0, 0, 0),
            jobs.configuration().queue(queue).orElse(null),
            organisation),
        0,
        now);
  }

  /** Assigns waiting tasks and confirms all starts. */
  List<RunCommand.Start> place(final long now) {
    final List<RunCommand.Start> starts = scheduler.place(now);
    starts.forEach(start -> tracker.startAccepted(start.run(), now));
    return starts;
  }

  /** Reports a run as finished and marks the finished run as persisted. */
  void finish(final TaskRun run, final RunOutcome outcome, final long now) {
    finishWithoutPersisting(run, outcome, now);
    run.worker().finishedRuns().markPersisted(run.worker().finishedRuns().lastReceived());
  }

  /** Reports a run as finished without persisting it, as while the store is unavailable. */
  void finishWithoutPersisting(final TaskRun run, final RunOutcome outcome, final long now) {
    final WorkerState worker = run.worker();
    final FinishedRun finishedRun =
        new FinishedRun(
            worker.finishedRuns().lastReceived() + 1, run.task().id(), run.number(), outcome, "");
    final List<ActiveRun> running =
        worker.runs().stream()
            .filter(other -> other != run)
            .map(other -> new ActiveRun(other.task().id(), other.number(), "", 100, 1_000))
            .toList();
    tracker.applyReport(
        worker,
        new WorkerReport(1_000 + now / MILLI, 1, running, List.of(finishedRun)),
        now,
        now,
        0);
  }

  static StepSpec step(
      final int count, final int cpu, final long estimate, final Integer... after) {
    return StepSpecBuilder.tasks(count)
        .demand(cpu, 1_000)
        .estimateMillis(estimate)
        .after(List.of(after))
        .build();
  }

  /** Creates a step whose tasks may have copies. */
  static StepSpec speculative(final int count) {
    return StepSpecBuilder.tasks(count).estimateMillis(1_000).speculative().build();
  }

  /** Creates a gang, a step whose tasks only run together. */
  static StepSpec gang(final int count) {
    return StepSpecBuilder.tasks(count).estimateMillis(1_000).gang().build();
  }

  static StepSpec longRunning(final int count, final int maxPerWorker, final int mayMiss) {
    return StepSpecBuilder.tasks(count)
        .demand(LONG_RUNNING_CPU_MILLIS, 20_000)
        .longRunning(mayMiss)
        .maxPerWorker(maxPerWorker)
        .image("image")
        .build();
  }

  /** Creates a long-running step whose tasks may have copies. */
  static StepSpec speculativeLongRunning(final int count) {
    return StepSpecBuilder.tasks(count).longRunning(1).speculative().build();
  }

  /** Creates a step with one task that has a target for its tail response time in ms. */
  static StepSpec withResponseTarget(final long targetMillis) {
    return longRunningTask().image("serving").targetMillis(targetMillis).build();
  }

  /** Creates a step with one best-effort task. */
  static StepSpec bestEffort() {
    return longRunningTask().image("filling").fills().build();
  }

  private static StepSpecBuilder longRunningTask() {
    return StepSpecBuilder.tasks(1).demand(LONG_RUNNING_CPU_MILLIS, 1_000).longRunning(1);
  }

  private static QueueSpec queue(final String name, final String service, final int priority) {
    return new QueueSpec(
        name, "host", "/" + name + "/", service, priority, 2, 1.6, 600, false, false);
  }
}
