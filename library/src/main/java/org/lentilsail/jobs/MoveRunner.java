package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.policy.job.Evacuation;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.PoolLoadCalculator;
import org.lentilsail.policy.job.PoolPlanner;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.MachineCommandResult;

/** Carries out moves of machines between pools. Owned by the control thread. */
final class MoveRunner {
  /** Time in ns after which a move that does not show in the list is given up. */
  private static final long GIVE_UP_NANOS = 2_000_000_000L;

  private final ControlContext parts;
  private final Fleet fleet;
  private final MachineDirectory directory;
  private final PoolPlanner planner;
  private final PoolLoadCalculator loads;
  private final Consumer<String> workerEnded;
  private final Map<String, Pending> pending = new HashMap<>();
  private boolean closed;

  /**
   * A move that the list does not show yet.
   *
   * @param move the move
   * @param answeredAt monotonic time in ns of the answer
   */
  private record Pending(PoolPlanner.Move move, long answeredAt) {}

  MoveRunner(
      final ControlContext parts,
      final Fleet fleet,
      final JobRegistry jobs,
      final RunTracker ledger,
      final MachineDirectory directory,
      final Consumer<String> workerEnded) {
    this.parts = parts;
    this.fleet = fleet;
    this.directory = directory;
    this.workerEnded = workerEnded;
    this.loads = new PoolLoadCalculator(jobs, fleet);
    this.planner =
        new PoolPlanner(jobs, fleet, directory.machines(), new Evacuation(ledger, fleet, jobs));
  }

  void close() {
    closed = true;
  }

  /** Returns the machines that are being emptied or moved. */
  boolean isMoving(final String machine) {
    return planner.isMoving(machine);
  }

  void tick(final long now, final Term term, final Set<String> maintained) {
    settle(now);
    final Set<String> reserved = new HashSet<>(maintained);
    reserved.addAll(directory.commands().reserved());
    planner.plan(loads.measure(now), reserved, now).forEach(move -> order(move, term));
  }

  /** Ends the moves that the list shows, or that took too long to show. */
  private void settle(final long now) {
    pending
        .values()
        .removeIf(
            entry -> {
              final String id = entry.move().machine().id();
              final Machine machine = directory.machines().machine(id);
              final boolean fresh = directory.machines().requestedAt() > entry.answeredAt();
              final boolean shown =
                  machine == null
                      || machine.pool().equals(entry.move().pool())
                      || machine.state() != MachineState.UP;
              final boolean over = fresh && shown || now - entry.answeredAt() > GIVE_UP_NANOS;
              if (over) {
                planner.moveEnded(id);
                release(entry.move());
              }
              return over;
            });
  }

  private void order(final PoolPlanner.Move move, final Term term) {
    final String machine = move.machine().id();
    if (directory.commands().begin(move.machine())) {
      directory.commands().send(machine, () -> send(move, term), () -> cancel(move));
    } else {
      planner.moveEnded(machine);
      release(move);
    }
  }

  private void cancel(final PoolPlanner.Move move) {
    directory.commands().end(move.machine().id(), true);
    planner.moveEnded(move.machine().id());
    release(move);
  }

  private void send(final PoolPlanner.Move move, final Term term) {
    final String machine = move.machine().id();
    if (closed) {
      return;
    }
    parts
        .machines()
        .move(machine, move.pool(), term.number())
        .whenCompleteAsync(
            logged(
                (answer, failure) -> {
                  directory.commands().end(machine, answer != MachineCommandResult.UNKNOWN);
                  if (!closed) {
                    ordered(move, answer);
                  }
                }),
            parts.executor());
  }

  private void ordered(final PoolPlanner.Move move, final MachineCommandResult answer) {
    final long now = parts.time().nanos();
    parts.metrics().recordMachineCommand("move", answer.name());
    parts.log().log(
        "machine-move",
        "machine",
        move.machine().id(),
        "from",
        move.machine().pool(),
        "to",
        move.pool(),
        "answer",
        answer);
    final String worker = move.machine().worker();
    if (answer == MachineCommandResult.DONE) {
      workerEnded.accept(worker);
    }
    pending.put(move.machine().id(), new Pending(move, now));
  }

  /** Gives a worker work again when its machine has not moved. */
  private void release(final PoolPlanner.Move move) {
    final WorkerState worker = fleet.worker(move.machine().worker());
    if (worker != null) {
      worker.cordoned(false);
    }
  }
}
