package org.lentilsail.jobs;

import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobBook;
import org.lentilsail.policy.job.RunLedger;

/** The holder's orders about machines: maintenance waves and moves. Owned by the control thread. */
final class MachineControl {
  private final MachineDirectory directory;
  private final WaveRunner waves;
  private final MoveRunner moves;

  MachineControl(
      final ControlParts parts,
      final Fleet fleet,
      final JobBook jobs,
      final RunLedger ledger,
      final HolderItems items,
      final Runnable changed,
      final Consumer<String> workerEnded,
      final ObjLongConsumer<Set<String>> listed) {
    directory = new MachineDirectory(parts, items, listed);
    waves = new WaveRunner(parts, fleet, jobs, ledger, directory, items, changed, workerEnded);
    moves = new MoveRunner(parts, fleet, jobs, ledger, directory, workerEnded);
  }

  /** Takes over what earlier holders have ordered. */
  void restore(final KeptState kept, final long claimedAt) {
    waves.restore(kept.waves());
    directory.orders().restore(kept.machineOrders(), claimedAt);
  }

  void requested(final WaveRequest request) {
    waves.requested(request);
  }

  /** Reads the machines when it is time. */
  void refresh(final long now) {
    directory.refresh(now);
  }

  /** Plans and gives orders; only while this daemon surely holds control. */
  void tick(final long now, final Term term) {
    waves.tick(now, term, moves::isMoving);
    moves.tick(now, term, waves.maintained());
    directory.orders().tick(now, directory.machines());
  }

  void close() {
    waves.close();
    moves.close();
  }
}
