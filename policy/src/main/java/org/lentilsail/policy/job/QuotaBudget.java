package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.Map;
import org.lentilsail.model.job.Resources;

/**
 * Determines how many waiting tasks the quotas permit to start together, without starting them.
 * Confined to the control thread.
 */
final class QuotaBudget {
  private final Map<OrganisationAccount, Resources> planned = new HashMap<>();

  /**
   * Takes tasks of a step, as many as fit beside the running tasks and those taken before.
   *
   * @param step the step
   * @param tasks number of its waiting tasks
   * @return the number of tasks that fit
   */
  int take(final StepRun step, final int tasks) {
    final OrganisationAccount account = step.job().account();
    final Resources before = planned.getOrDefault(account, Resources.NONE);
    final int taken = account.room(step.spec(), before, tasks);
    if (taken > 0 && account.isConfigured()) {
      final Resources demand = step.spec().demand();
      planned.put(
          account,
          before.plus(
              new Resources(
                  demand.cpuMillis() * taken, demand.memoryMb() * taken, demand.gpus() * taken)));
    }
    return taken;
  }
}
