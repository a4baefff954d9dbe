package org.lentilsail.jobs;

import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.RunTracker;

/** The holder's orders about machines: maintenance waves and moves. Owned by the control thread. */
final class MachineControl {
  private final MachineDirectory directory;
  private final WaveRunner waves;
  private final MoveRunner moves;

  MachineControl(
      final ControlContext parts,
      final Fleet fleet,
      final JobRegistry jobs,
      final RunTracker ledger,
      final LeaderItems items,
      final Runnable changed,
      final Consumer<String> workerEnded,
      final ObjLongConsumer<Set<String>> listed) {
    directory = new MachineDirectory(parts, items, listed);
    waves = new WaveRunner(parts, fleet, jobs, ledger, directory, items, changed, workerEnded);
    moves = new MoveRunner(parts, fleet, jobs, ledger, directory, workerEnded);
  }

  /** Takes over what earlier holders have ordered. */
  void restore(final PersistedState kept, final long claimedAt) {
    waves.restore(kept.waves());
    directory.commands().restore(kept.machineCommands(), claimedAt);
  }

  void requestWave(final WaveRequest request) {
    waves.requestWave(request);
  }

  /** Reads the machines when it is time. */
  void refresh(final long now) {
    directory.refresh(now);
  }

  /** Plans and gives orders; only while this daemon surely holds control. */
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
