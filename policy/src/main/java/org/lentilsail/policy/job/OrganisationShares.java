package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.Resources;

/**
 * Computes how much of the capacity organisations use relative to their weights, during one
 * scheduling pass. Jobs without organisation share the weight of an average organisation, and so do
 * organisations that have no weight or are no longer configured.
 */
final class OrganisationShares {
  private final OrganisationUsage usage;
  private final Map<String, Resources> running = new HashMap<>();
  private final Map<String, Double> weights = new HashMap<>();
  private final double defaultWeight;
  private final Resources capacity;

  /**
   * Creates shares for a pass.
   *
   * @param organisations the configured organisations
   * @param usage resources in use before the pass
   * @param fleet all workers
   */
  OrganisationShares(
      final List<Organisation> organisations, final OrganisationUsage usage, final Fleet fleet) {
    this.usage = usage;
    double sum = 0;
    for (final Organisation organisation : organisations) {
      if (organisation.weight() > 0) {
        weights.put(organisation.name(), organisation.weight());
        sum += organisation.weight();
      }
    }
    defaultWeight = weights.isEmpty() ? 1 : sum / weights.size();
    Resources total = Resources.NONE;
    for (final WorkerState worker : fleet.workers()) {
      total = total.plus(worker.entry().capacity());
    }
    capacity = total;
  }

  /**
   * Returns the largest fraction of a resource that an organisation uses, divided by its weight.
   */
  double share(final String organisation) {
    final Resources used = running.computeIfAbsent(organisation, usage::running);
    final double dominant =
        Math.max(
            fraction(used.cpuMillis(), capacity.cpuMillis()),
            Math.max(
                fraction(used.memoryMb(), capacity.memoryMb()),
                fraction(used.gpus(), capacity.gpus())));
    return dominant / weights.getOrDefault(organisation, defaultWeight);
  }

  /** Adds what an organisation has started in this pass. */
  void add(final String organisation, final Resources started) {
    running.put(organisation, running.computeIfAbsent(organisation, usage::running).plus(started));
  }

  private static double fraction(final long used, final long total) {
    return total > 0 ? (double) used / total : 0;
  }
}
