package org.lentilsail.jobs;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.RecoveryGate;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.WorkerState;

/**
 * The workers of the holder: takes them in from the registry, admits them after the roster is kept,
 * talks to each by a session, and forgets them when they have ended. Owned by the control thread.
 */
final class LeaderWorkers implements WorkerRegistry.Listener {
  /** Slowest rate of a worker's clock, with some time for the way of an order. */
  private static final double LEASE_MARGIN = 1.03;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlContext parts;
  private final Fleet fleet;
  private final RunTracker ledger;
  private final RecoveryGate gate;
  private final LeaderItems items;
  private final SessionCallbacks events;
  private final WorkerRegistry registry;
  private final Roster roster;
  private final Consumer<String> forgotten;
  private final Map<String, WorkerSession> sessions = new LinkedHashMap<>();
  private final Map<String, WorkerEntry> reported = new HashMap<>();
  private boolean opened;
  private boolean closed;

  LeaderWorkers(
      final ControlContext parts,
      final Fleet fleet,
      final RunTracker ledger,
      final RecoveryGate gate,
      final LeaderItems items,
      final SessionCallbacks events,
      final Runnable loaded,
      final Consumer<String> forgotten,
      final Runnable superseded) {
    this.parts = parts;
    this.fleet = fleet;
    this.ledger = ledger;
    this.gate = gate;
    this.items = items;
    this.events = events;
    this.forgotten = forgotten;
    registry = new WorkerRegistry(parts, this, loaded);
    roster = new Roster(parts, items, this::admitted, superseded);
  }

  WorkerRegistry registry() {
    return registry;
  }

  /** Returns the number of workers that were reported or kept. */
  int knownWorkerCount() {
    return reported.size();
  }

  /** Takes over the workers that earlier holders may have given work. */
  void restore(
      final List<WorkerEntry> members,
      final Map<String, List<TaskId>> placed,
      final long claimedAt) {
    roster.restore(members);
    final Map<String, List<TaskId>> tasks = new HashMap<>();
    for (final WorkerEntry entry : members) {
      tasks.put(entry.id(), placed.getOrDefault(entry.id(), List.of()));
      reported.putIfAbsent(entry.id(), entry);
    }
    final long lease = (long) (parts.bounds().maxLeaseMillis() * LEASE_MARGIN * NANOS_PER_MILLI);
    placed.keySet().stream().filter(id -> !tasks.containsKey(id)).forEach(forgotten);
    gate.close(tasks, claimedAt, lease);
    registry.expect(tasks.keySet());
  }

  /** Admits all workers that are known. */
  void open() {
    opened = true;
    List.copyOf(reported.values()).forEach(roster::admit);
  }

  /** Goes on in a later term. */
  void resume() {
    sessions.values().forEach(WorkerSession::poll);
  }

  void close() {
    closed = true;
    roster.close();
    sessions.values().forEach(WorkerSession::close);
  }

  void tick(final long now) {
    gate.expire(now);
    registry.tick(now);
    List.copyOf(sessions.values()).forEach(session -> session.tick(now));
    List.copyOf(fleet.workers()).forEach(this::forgetWhenEmpty);
  }

  void send(final RunCommand order) {
    final WorkerSession session = sessions.get(order.run().worker().id());
    if (session != null) {
      session.send(order);
    }
  }

  @Override
  public void workerReported(final WorkerEntry entry) {
    reported.put(entry.id(), entry);
    if (!opened) {
      return;
    }
    final WorkerState known = fleet.worker(entry.id());
    if (known == null) {
      roster.admit(entry);
      return;
    }
    final boolean reborn = entry.startTimeMillis() > known.entry().startTimeMillis();
    final boolean usableBefore = known.isRegistered() && !known.entry().draining();
    known.entry(entry);
    if (reborn) {
      parts.log().log("worker-reborn", "worker", entry.id(), "born", entry.startTimeMillis());
      sessions.get(entry.id()).workerRestarted();
    }
    if (entry.draining() && usableBefore) {
      parts.log().log("worker-draining", "worker", entry.id());
    }
    events.stateChanged();
  }

  @Override
  public void workerRemoved(final String id) {
    reported.remove(id);
    final WorkerState worker = fleet.worker(id);
    if (worker != null) {
      worker.markUnregistered();
      forgetWhenEmpty(worker);
    }
  }

  /** A worker that no working machine carries has ended, also when it cannot be asked. */
  void machinesListed(final Set<String> carried, final long askedAt) {
    for (final WorkerState worker : List.copyOf(fleet.workers())) {
      if (!worker.isResponding()
          && worker.unresponsiveSince() < askedAt
          && (!worker.runs().isEmpty() || gate.isPending(worker.id()))
          && !carried.contains(worker.id())) {
        parts.log().log("worker-ended", "worker", worker.id(), "runs", worker.runs().size());
        workerEnded(worker.id());
        events.stateChanged();
      }
    }
  }

  private void admitted(final WorkerEntry entry) {
    if (closed || fleet.worker(entry.id()) != null) {
      return;
    }
    parts.log().log("worker-admitted", "worker", entry.id(), "service", entry.service());
    final WorkerState worker = new WorkerState(entry, parts.time().nanos());
    fleet.add(worker);
    final WorkerSession session = new WorkerSession(parts, worker, ledger, items, events);
    sessions.put(entry.id(), session);
    session.poll();
  }

  /** A worker that an earlier holder used is kept until its runs are known or have expired. */
  private void forgetWhenEmpty(final WorkerState worker) {
    if (!worker.isRegistered() && worker.runs().isEmpty() && !gate.isPending(worker.id())) {
      forget(worker.id());
    }
  }

  /** Takes in that a worker has ended with everything on it. */
  void workerEnded(final String id) {
    final WorkerState worker = fleet.worker(id);
    if (worker != null) {
      worker.markUnregistered();
      ledger.workerLost(worker, parts.time().nanos());
      forget(id);
    }
  }

  /** Forgets a worker that has surely ended. */
  void forget(final String id) {
    final WorkerSession session = sessions.remove(id);
    if (session != null) {
      session.close();
    }
    fleet.remove(id);
    roster.remove(id);
    gate.resolved(id);
    forgotten.accept(id);
  }
}
