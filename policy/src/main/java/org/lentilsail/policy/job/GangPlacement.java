package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;

/** Selects workers for all tasks of a gang at once, or for none of them. */
final class GangPlacement {
  private GangPlacement() {}

  /**
   * Selects a worker for each task; one that may be faulty only after the wait limit of the job.
   *
   * @param step the gang
   * @param candidates workers of the service
   * @param now monotonic time in ns
   * @return one worker per task in the order of the tasks, empty if they do not all fit
   */
  static List<WorkerState> choose(
      final StepRun step, final List<WorkerState> candidates, final long now) {
    final List<WorkerState> permitted =
        candidates.stream().filter(worker -> step.isPermitted(worker, now)).toList();
    final List<WorkerState> healthy =
        assignByRack(step, permitted.stream().filter(worker -> worker.isSchedulable(now)).toList());
    return healthy.isEmpty() && WaitLimit.isReached(step, candidates, now)
        ? assignByRack(step, available(permitted, now))
        : healthy;
  }

  /** Returns the workers that can run new tasks, the healthy ones first. */
  private static List<WorkerState> available(final List<WorkerState> workers, final long now) {
    return workers.stream()
        .filter(worker -> worker.isAvailable(now))
        .sorted(Comparator.comparing(worker -> !worker.isSchedulable(now)))
        .toList();
  }

  private static List<WorkerState> assignByRack(
      final StepRun step, final List<WorkerState> schedulable) {
    if (!step.spec().sameRack()) {
      return assign(step, schedulable);
    }
    List<WorkerState> best = List.of();
    for (final List<WorkerState> rack : byRack(schedulable, step.spec().dataRack())) {
      if (best.isEmpty()) {
        best = assign(step, rack);
      }
    }
    return best.isEmpty() ? assign(step, schedulable) : best;
  }

  /** Groups workers by rack, which is their last label; the preferred rack comes first. */
  private static List<List<WorkerState>> byRack(
      final List<WorkerState> workers, final String preferred) {
    final Map<String, List<WorkerState>> racks = new HashMap<>();
    for (final WorkerState worker : workers) {
      final List<String> labels = worker.entry().labels();
      final String rack = labels.isEmpty() ? "" : labels.get(labels.size() - 1);
      racks.computeIfAbsent(rack, key -> new ArrayList<>()).add(worker);
    }
    final List<List<WorkerState>> ordered = new ArrayList<>();
    if (racks.containsKey(preferred)) {
      ordered.add(racks.remove(preferred));
    }
    ordered.addAll(racks.values());
    return ordered;
  }

  private static List<WorkerState> assign(final StepRun step, final List<WorkerState> workers) {
    final StepSpec spec = step.spec();
    final Resources demand = spec.reserved();
    final List<WorkerState> chosen = new ArrayList<>();
    for (final WorkerState worker : workers) {
      if (!Placement.fits(step, worker)) {
        continue;
      }
      Resources free = worker.free();
      int assigned = 0;
      while (chosen.size() < spec.count()
          && demand.fitsIn(free)
          && (spec.maxPerWorker() <= 0 || assigned < spec.maxPerWorker())) {
        chosen.add(worker);
        free = free.minus(demand);
        assigned++;
      }
    }
    return chosen.size() == spec.count() ? chosen : List.of();
  }
}
