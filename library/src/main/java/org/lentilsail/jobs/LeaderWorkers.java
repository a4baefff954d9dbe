package org.lentilsail.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.lentilsail.concurrent.Callbacks;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropReason;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.MachineInventory;
import org.lentilsail.policy.job.RecoveryGate;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.WorkerHosts;
import org.lentilsail.policy.job.WorkerState;

/**
 * Manages the workers of the leader: admits registered workers once the roster is persisted, opens
 * a session for each, and removes workers that have terminated. Confined to the control thread.
 */
final class LeaderWorkers implements WorkerRegistry.Listener {
  /** Maximum number of tasks in one log line, of 30 bytes each. */
  private static final int MAX_LOGGED_TASKS = 50;

  private final ControlContext context;
  private final Fleet fleet;
  private final RunTracker runTracker;
  private final RecoveryGate gate;
  private final SessionCallbacks callbacks;
  private final WorkerRegistry registry;
  private final Roster roster;
  private final WorkerTokens tokens;
  private final Consumer<String> placementRemoval;
  private final WorkerHosts hosts = new WorkerHosts();
  private final Map<String, WorkerSession> sessions = new LinkedHashMap<>();
  private final Map<String, WorkerEntry> knownWorkers = new HashMap<>();

  /** Workers with persisted placements that the persisted roster lacks. */
  private final Set<String> unlisted = new LinkedHashSet<>();

  /** Workers whose registry entries this leader has read. */
  private final Set<String> reported = new HashSet<>();

  private boolean opened;
  private boolean closed;

  LeaderWorkers(
      final ControlContext context,
      final Fleet fleet,
      final RunTracker runTracker,
      final RecoveryGate gate,
      final LeaderItems items,
      final SessionCallbacks callbacks,
      final Runnable loaded,
      final Consumer<String> placementRemoval,
      final Runnable superseded) {
    this.context = context;
    this.fleet = fleet;
    this.runTracker = runTracker;
    this.gate = gate;
    tokens = new WorkerTokens(items);
    this.callbacks = callbacks;
    this.placementRemoval = placementRemoval;
    registry = new WorkerRegistry(context, this, loaded);
    roster = new Roster(context, items, this::admitted, superseded);
  }

  WorkerRegistry registry() {
    return registry;
  }

  /** Returns the number of workers that are registered or on the persisted roster. */
  int knownWorkerCount() {
    return knownWorkers.size();
  }

  /**
   * Restores the workers to which earlier leaders may have assigned tasks. That the roster lacks a
   * worker does not show that it has ended: an earlier leader removes its placements first. So its
   * tasks are blocked like those of a worker that cannot be polled.
   */
  void restore(
      final Map<WorkerEntry, String> members,
      final Map<String, List<TaskId>> placementsByWorker,
      final long claimedAt) {
    roster.restore(members.keySet());
    members.forEach(hosts::restore);
    final Map<String, List<TaskId>> tasks = new HashMap<>(placementsByWorker);
    unlisted.addAll(placementsByWorker.keySet());
    for (final WorkerEntry entry : members.keySet()) {
      tasks.putIfAbsent(entry.id(), List.of());
      unlisted.remove(entry.id());
      knownWorkers.putIfAbsent(entry.id(), entry);
    }
    gate.close(tasks, claimedAt, RunLeases.longestNanos(context.bounds()));
    registry.expect(tasks.keySet());
  }

  /** Keeps the tasks of a worker blocked, the lease of whose runs was renewed. */
  void partlyKnown(final WorkerState worker) {
    gate.prolong(worker.id(), context.time().nanos() + RunLeases.longestNanos(context.bounds()));
  }

  /** Admits all known workers. */
  void open() {
    opened = true;
    Callbacks.forEach("known worker", List.copyOf(knownWorkers.values()), roster::admit);
  }

  /** Polls all workers at once, in addition to polls that wait there. */
  void pollAll() {
    Callbacks.forEach("worker session", sessions.values(), WorkerSession::poll);
  }

  void close() {
    closed = true;
    roster.close();
    sessions.values().forEach(WorkerSession::close);
  }

  void tick(final long now) {
    gate.expire(now);
    removeUnlisted();
    registry.tick(now);
    Callbacks.forEach(
        "worker session", List.copyOf(sessions.values()), session -> session.tick(now));
    List.copyOf(fleet.workers()).forEach(this::removeWhenIdle);
  }

  /** Removes the placements of workers outside the roster that are not admitted in time. */
  private void removeUnlisted() {
    final List<String> resolved = unlisted.stream().filter(id -> !gate.isPending(id)).toList();
    resolved.forEach(unlisted::remove);
    resolved.stream().filter(id -> fleet.worker(id) == null).forEach(placementRemoval);
  }

  void send(final RunCommand command) {
    final WorkerSession session = sessions.get(command.run().worker().id());
    if (session != null) {
      session.send(command);
    }
  }

  @Override
  public void workerReported(final WorkerEntry entry) {
    final WorkerState known = fleet.worker(entry.id());
    if (known != null && entry.startTimeMillis() < known.entry().startTimeMillis()) {
      context.log().log("worker-entry-outdated", "worker", entry.id());
      return;
    }
    knownWorkers.put(entry.id(), entry);
    reported.add(entry.id());
    if (!opened) {
      return;
    }
    if (known == null) {
      roster.admit(entry);
      return;
    }
    final long earlierStart = known.entry().startTimeMillis();
    final boolean restarted = entry.startTimeMillis() > earlierStart;
    final boolean wasUsable = known.isRegistered() && !known.entry().draining();
    known.entry(entry);
    if (restarted) {
      context.log().log("worker-reborn", "worker", entry.id(), "born", entry.startTimeMillis());
      sessions.get(entry.id()).workerRestarted(earlierStart);
    }
    if (entry.draining() && wasUsable) {
      context.log().log("worker-draining", "worker", entry.id());
    }
    callbacks.stateChanged();
  }

  @Override
  public void workerRemoved(final String id) {
    knownWorkers.remove(id);
    final WorkerState worker = fleet.worker(id);
    if (worker != null) {
      worker.markUnregistered();
      removeWhenIdle(worker);
    }
  }

  /**
   * Treats an unresponsive worker as terminated, even though it cannot be polled, if the list shows
   * another worker on its machine, or that the machine is not up. A worker whose machine the list
   * lacks waits for its lease.
   */
  void machinesListed(final MachineInventory machines) {
    hosts.update(machines, this::startTime);
    roster.updateMachines(hosts::machineOf);
    for (final WorkerState worker : List.copyOf(fleet.workers())) {
      if (!worker.isResponding()
          && worker.contact().unresponsiveSince() < machines.requestedAt()
          && (!worker.runs().isEmpty() || gate.isPending(worker.id()))
          && hosts.hasEnded(worker.entry())) {
        final String seen = hosts.describe(worker.entry());
        context.log().log(
            "worker-ended", "worker", worker.id(), "runs", worker.runs().size(), "machine", seen);
        workerEnded(
            worker.id(), new DropEvidence(DropReason.MACHINE_LIST, seen, machines.requestedAt()));
        callbacks.stateChanged();
      }
    }
  }

  /** Returns the start of the known incarnation of a worker, -1 for one that is not known. */
  private long startTime(final String id) {
    final WorkerState worker = fleet.worker(id);
    final WorkerEntry entry = worker == null ? knownWorkers.get(id) : worker.entry();
    return entry == null ? -1 : entry.startTimeMillis();
  }

  private void admitted(final WorkerEntry entry) {
    if (closed || fleet.worker(entry.id()) != null) {
      return;
    }
    context.log().log("worker-admitted", "worker", entry.id(), "service", entry.service());
    final WorkerState worker = new WorkerState(entry, context.time().nanos());
    if (!knownWorkers.containsKey(entry.id())) {
      // Its entry went while the roster was written, and nothing else would tell that it is gone.
      worker.markUnregistered();
    }
    fleet.add(worker);
    final WorkerSession session = new WorkerSession(context, worker, runTracker, tokens, callbacks);
    sessions.put(entry.id(), session);
    session.poll();
  }

  /**
   * Removes a deregistered worker once its runs are known to have finished or expired and their
   * outcomes are persisted. It may live and have only lost its entry, so its session goes on until
   * then.
   */
  private void removeWhenIdle(final WorkerState worker) {
    if (!worker.isRegistered() && worker.isSafeToTerminate() && !gate.isPending(worker.id())) {
      remove(
          worker.id(),
          new DropEvidence(
              DropReason.REMOVED_FROM_ROSTER, "no entry, no runs", context.time().nanos()));
    }
  }

  /** Processes the termination of a worker and of all its runs. */
  void workerEnded(final String id, final DropEvidence evidence) {
    final WorkerState worker = fleet.worker(id);
    if (worker != null) {
      worker.markUnregistered();
      runTracker.workerLost(worker, evidence, context.time().nanos());
      remove(id, evidence);
    }
  }

  /**
   * Processes that another worker has responded at the address of a worker. It may be that of an
   * earlier incarnation: the roster keeps the address with which a worker was first admitted. So
   * only after an entry or a response of the worker itself this shows that its runs have ended.
   */
  void workerGone(final WorkerState worker, final DropEvidence evidence) {
    if (!worker.isSynced() && !reported.contains(worker.id())) {
      return;
    }
    final long now = context.time().nanos();
    runTracker.workerLost(worker, evidence, now);
    gate.resolved(worker.id(), evidence, now);
    if (!worker.isRegistered()) {
      remove(worker.id(), evidence);
    }
  }

  /**
   * Removes a worker that is known to have terminated. The next leader starts the tasks of its
   * placements again, so these stay in the store until all outcomes received from it are persisted,
   * and the worker stays on the roster as long as they do.
   */
  private void remove(final String id, final DropEvidence evidence) {
    logRemoved(fleet.worker(id), evidence);
    final WorkerSession session = sessions.remove(id);
    if (session != null) {
      session.close();
    }
    tokens.raise(id);
    fleet.remove(id);
    gate.resolved(id, evidence, context.time().nanos());
    callbacks.whenPersisted(
        () -> {
          if (fleet.worker(id) == null) {
            placementRemoval.accept(id);
          }
        });
  }

  /** Takes a worker without placements off the roster, unless it was admitted again. */
  void placementsRemoved(final String id) {
    if (fleet.worker(id) == null) {
      roster.remove(id);
    }
  }

  /** Logs the tasks whose ends only this leader knows; the next one starts them again. */
  private void logRemoved(final WorkerState worker, final DropEvidence evidence) {
    if (worker != null) {
      context.log().log(
          "worker-removed",
          "worker",
          worker.id(),
          "reason",
          evidence.reason().text(),
          "evidence",
          evidence.seen(),
          "ageMs",
          evidence.ageMillis(context.time().nanos()),
          "unstored",
          worker.finishedRuns().unpersistedTasks().stream()
              .limit(MAX_LOGGED_TASKS)
              .map(TaskId::text)
              .collect(Collectors.joining(",")));
    }
  }
}
