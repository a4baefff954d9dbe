package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;

/** Chooses workers for all tasks of a gang at once, or for none. */
final class GangPlacement {
  private GangPlacement() {}

  /**
   * Chooses a worker for each task.
   *
   * @param step the gang
   * @param candidates workers of the service
   * @param now monotonic time in ns
   * @return a worker for each task in the order of the tasks, empty when they do not all fit
   */
  static List<WorkerState> choose(
      final StepRun step, final List<WorkerState> candidates, final long now) {
    final List<WorkerState> usable =
        candidates.stream()
            .filter(worker -> worker.isSchedulable(now) && step.isPermitted(worker, now))
            .toList();
    if (!step.spec().sameRack()) {
      return fill(step, usable);
    }
    List<WorkerState> best = List.of();
    for (final List<WorkerState> rack : byRack(usable, step.spec().dataRack())) {
      if (best.isEmpty()) {
        best = fill(step, rack);
      }
    }
    return best.isEmpty() ? fill(step, usable) : best;
  }

  /** Groups workers by their last label, which names the rack; the rack of the data comes first. */
  private static List<List<WorkerState>> byRack(
      final List<WorkerState> workers, final String first) {
    final Map<String, List<WorkerState>> racks = new HashMap<>();
    for (final WorkerState worker : workers) {
      final List<String> labels = worker.entry().labels();
      final String rack = labels.isEmpty() ? "" : labels.get(labels.size() - 1);
      racks.computeIfAbsent(rack, key -> new ArrayList<>()).add(worker);
    }
    final List<List<WorkerState>> ordered = new ArrayList<>();
    if (racks.containsKey(first)) {
      ordered.add(racks.remove(first));
    }
    ordered.addAll(racks.values());
    return ordered;
  }

  private static List<WorkerState> fill(final StepRun step, final List<WorkerState> workers) {
    final StepSpec spec = step.spec();
    final Resources demand = spec.reserved();
    final List<WorkerState> chosen = new ArrayList<>();
    for (final WorkerState worker : workers) {
      if (!Placement.fits(step, worker)) {
        continue;
      }
      Resources free = worker.free();
      int taken = 0;
      while (chosen.size() < spec.count()
          && demand.fitsIn(free)
          && (spec.maxPerWorker() <= 0 || taken < spec.maxPerWorker())) {
        chosen.add(worker);
        free = free.minus(demand);
        taken++;
      }
    }
    return chosen.size() == spec.count() ? chosen : List.of();
  }
}
