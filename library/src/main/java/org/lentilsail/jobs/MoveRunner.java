package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropReason;
import org.lentilsail.policy.job.Evacuation;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.PoolLoadCalculator;
import org.lentilsail.policy.job.PoolPlanner;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.MachineCommandResult;

/** Moves machines between pools. Confined to the control thread. */
final class MoveRunner {
  /** Time in ns after which a move that does not appear in the machine list is abandoned. */
  private static final long MOVE_TIMEOUT_NANOS = 2_000_000_000L;

  private final ControlContext context;
  private final Fleet fleet;
  private final MachineDirectory directory;
  private final PoolPlanner planner;
  private final PoolLoadCalculator loads;
  private final BiConsumer<String, DropEvidence> workerEnded;
  private final Map<String, UnlistedMove> unlistedMoves = new HashMap<>();
  private boolean closed;

  /**
   * A move that the machine list does not show yet.
   *
   * @param move the move
   * @param answeredAt monotonic time in ns at which the command was answered
   */
  private record UnlistedMove(PoolPlanner.Move move, long answeredAt) {}

  MoveRunner(
      final ControlContext context,
      final Fleet fleet,
      final JobRegistry jobs,
      final RunTracker runTracker,
      final MachineDirectory directory,
      final BiConsumer<String, DropEvidence> workerEnded) {
    this.context = context;
    this.fleet = fleet;
    this.directory = directory;
    this.workerEnded = workerEnded;
    this.loads = new PoolLoadCalculator(jobs, fleet);
    this.planner =
        new PoolPlanner(jobs, fleet, directory.machines(), new Evacuation(runTracker, fleet, jobs));
  }

  void close() {
    closed = true;
  }

  /** Returns whether a machine is being evacuated or moved. */
  boolean isMoving(final String machine) {
    return planner.isMoving(machine);
  }

  void tick(final long now, final Term term, final Set<String> maintained) {
    completeMoves(now);
    final Set<String> reserved = new HashSet<>(maintained);
    reserved.addAll(directory.commands().reserved());
    planner.plan(loads.measure(now), reserved, now).forEach(move -> queueCommand(move, term));
  }

  /** Completes the moves that the machine list shows and abandons those that have timed out. */
  private void completeMoves(final long now) {
    unlistedMoves
        .values()
        .removeIf(
            entry -> {
              final String id = entry.move().machine().id();
              final Machine machine = directory.machines().machine(id);
              final boolean listIsNewer = directory.machines().requestedAt() > entry.answeredAt();
              final boolean moveIsVisible =
                  machine != null
                      && (machine.pool().equals(entry.move().pool())
                          || machine.state() != MachineState.UP);
              final boolean ended =
                  listIsNewer && moveIsVisible || now - entry.answeredAt() > MOVE_TIMEOUT_NANOS;
              if (ended) {
                planner.moveEnded(id);
                uncordonWorker(entry.move());
              }
              return ended;
            });
  }

  private void queueCommand(final PoolPlanner.Move move, final Term term) {
    final String machine = move.machine().id();
    if (directory.commands().begin(move.machine())) {
      directory.commands().send(machine, () -> send(move, term), () -> cancel(move));
    } else {
      planner.moveEnded(machine);
      uncordonWorker(move);
    }
  }

  private void cancel(final PoolPlanner.Move move) {
    directory.commands().end(move.machine().id(), true);
    planner.moveEnded(move.machine().id());
    uncordonWorker(move);
  }

  private void send(final PoolPlanner.Move move, final Term term) {
    final String machine = move.machine().id();
    if (closed) {
      return;
    }
    final long sentAt = context.time().nanos();
    context
        .machines()
        .move(machine, move.pool(), term.number())
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  directory.commands().end(machine, result != MachineCommandResult.UNKNOWN);
                  if (!closed) {
                    handleResult(move, result, sentAt);
                  }
                }),
            context.executor());
  }

  private void handleResult(
      final PoolPlanner.Move move, final MachineCommandResult result, final long sentAt) {
    final long now = context.time().nanos();
    context.metrics().recordMachineCommand("move", result.name());
    context.log().log(
        "machine-move",
        "machine",
        move.machine().id(),
        "from",
        move.machine().pool(),
        "to",
        move.pool(),
        "answer",
        result);
    final String worker = move.machine().worker();
    if (result == MachineCommandResult.DONE) {
      workerEnded.accept(
          worker,
          new DropEvidence(
              DropReason.MACHINE_COMMAND, "move of " + move.machine().id() + " confirmed", sentAt));
    }
    unlistedMoves.put(move.machine().id(), new UnlistedMove(move, now));
  }

  /** Uncordons the worker of a machine that has not been moved. */
  private void uncordonWorker(final PoolPlanner.Move move) {
    final WorkerState worker = fleet.worker(move.machine().worker());
    if (worker != null) {
      worker.cordoned(false);
    }
  }
}
