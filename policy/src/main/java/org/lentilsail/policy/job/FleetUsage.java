package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.Map;
import org.lentilsail.model.job.Resources;

/** Sums up the runs of all workers by organisation; valid for one scheduling pass. */
final class FleetUsage implements OrganisationUsage {
  /** A sum that is changed in place, because a pass may add up thousands of runs. */
  private static final class Sum {
    private long cpuMillis;
    private long memoryMb;
    private long gpus;

    private void add(final Resources amount) {
      cpuMillis += amount.cpuMillis();
      memoryMb += amount.memoryMb();
      gpus += amount.gpus();
    }
  }

  private final Map<String, Sum> sums = new HashMap<>();

  FleetUsage(final Fleet fleet) {
    for (final WorkerState worker : fleet.workers()) {
      for (final TaskRun run : worker.runs()) {
        final StepRun step = run.task().step();
        sums.computeIfAbsent(step.job().submitted().organisation(), name -> new Sum())
            .add(step.spec().demand());
      }
    }
  }

  @Override
  public Resources running(final String organisation) {
    final Sum sum = sums.get(organisation);
    return sum == null ? Resources.NONE : new Resources(sum.cpuMillis, sum.memoryMb, sum.gpus);
  }
}
