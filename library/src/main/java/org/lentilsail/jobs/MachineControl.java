package org.lentilsail.jobs;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.MachineInventory;
import org.lentilsail.policy.job.RunTracker;

/**
 * Controls machines for the leader: maintenance waves and moves between pools. Confined to the
 * control thread.
 */
final class MachineControl {
  private final MachineDirectory directory;
  private final WaveRunner waves;
  private final MoveRunner moves;

  MachineControl(
      final ControlContext context,
      final Fleet fleet,
      final JobRegistry jobs,
      final RunTracker runTracker,
      final LeaderItems items,
      final BooleanSupplier isLeader,
      final Runnable stateChanged,
      final BiConsumer<String, DropEvidence> workerEnded,
      final Consumer<MachineInventory> onMachinesListed) {
    directory = new MachineDirectory(context, items, isLeader, onMachinesListed);
    waves =
        new WaveRunner(
            context, fleet, jobs, runTracker, directory, items, stateChanged, workerEnded);
    moves = new MoveRunner(context, fleet, jobs, runTracker, directory, workerEnded);
  }

  /** Restores the commands of earlier leaders. */
  void restore(final PersistedState state, final long claimedAt) {
    waves.restore(state.waves());
    directory.commands().restore(state.machineCommands(), claimedAt);
  }

  void requestWave(final WaveRequest request) {
    waves.requestWave(request);
  }

  /** Refreshes the list of machines when it is due. */
  void refresh(final long now) {
    directory.refresh(now);
  }

  /** Plans and sends commands. Must be called only while the leader lease is known to be valid. */
  void tick(final long now, final Term term) {
    waves.tick(now, term, moves::isMoving);
    moves.tick(now, term, waves.machinesInMaintenance());
    directory.commands().tick(now, directory.machines());
  }

  void close() {
    waves.close();
    moves.close();
  }
}
