package org.lentilsail.policy.job;

import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;

/**
 * Quota of one organisation and what it has running over all workers. Checks and updates take
 * constant time. Confined to the control thread.
 */
public final class OrganisationAccount {
  private final String name;
  private Resources limit = Resources.NONE;
  private Resources used = Resources.NONE;
  private boolean configured;
  private boolean limitKnown;

  OrganisationAccount(final String name) {
    this.name = name;
  }

  /**
   * Returns the name.
   *
   * @return name of the organisation, empty for jobs without one
   */
  public String name() {
    return name;
  }

  /**
   * Returns what the organisation may have running.
   *
   * @return the limit; a component of 0 is unlimited
   */
  public Resources limit() {
    return limit;
  }

  /**
   * Returns what the organisation has running.
   *
   * @return demand of all runs that are not known to have ended
   */
  public Resources used() {
    return used;
  }

  /**
   * Returns whether the current configuration contains the organisation.
   *
   * @return false before the first configuration and after the removal of the organisation
   */
  public boolean isConfigured() {
    return configured;
  }

  /**
   * Returns whether the limit is known.
   *
   * @return false until a configuration has been received
   */
  public boolean isLimitKnown() {
    return limitKnown;
  }

  /** Applies a limit of the current configuration. */
  void configure(final Resources newLimit) {
    limit = newLimit;
    configured = true;
    limitKnown = true;
  }

  /** Removes the limit, because the current configuration lacks the organisation. */
  void removeLimit() {
    limit = Resources.NONE;
    configured = false;
    limitKnown = true;
  }

  void add(final Resources demand) {
    used = used.plus(demand);
  }

  void subtract(final Resources demand) {
    used = used.minus(demand);
  }

  /**
   * Returns whether and why the quota holds back a step.
   *
   * @param step the step
   * @return the reason, {@code NONE} if a task of it, or the whole gang, may start
   */
  QuotaHold hold(final StepSpec step) {
    if (!limitKnown) {
      return QuotaHold.LIMIT_UNKNOWN;
    }
    if (!fits(step, limit)) {
      return QuotaHold.EXCEEDS_LIMIT;
    }
    return room(step, Resources.NONE, 1) > 0 ? QuotaHold.NONE : QuotaHold.LIMIT_IN_USE;
  }

  /**
   * Returns how many tasks of a step may start.
   *
   * @param step the step
   * @param planned what else of the organisation is assumed to start
   * @param tasks number of tasks that want to start
   * @return at most that number; 0 for a gang that may not start as a whole
   */
  int room(final StepSpec step, final Resources planned, final int tasks) {
    if (!limitKnown) {
      return 0;
    }
    final long room = roomUnder(limit, used.plus(planned), step.demand());
    return room < tasksAtOnce(step) ? 0 : (int) Math.min(room, tasks);
  }

  /** Returns whether the organisation uses at most its limit; a lowered limit may be exceeded. */
  boolean isWithinLimit() {
    return roomUnder(limit, used, Resources.NONE) > 0;
  }

  /** Returns whether the organisation uses less than half of each component of its limit. */
  boolean usesLessThanHalf() {
    return isLessThanHalf(used.cpuMillis(), limit.cpuMillis())
        && isLessThanHalf(used.memoryMb(), limit.memoryMb())
        && isLessThanHalf(used.gpus(), limit.gpus());
  }

  /**
   * Returns whether a limit permits a task of a step, or the whole gang, while nothing else runs.
   */
  static boolean fits(final StepSpec step, final Resources limit) {
    return roomUnder(limit, Resources.NONE, step.demand()) >= tasksAtOnce(step);
  }

  private static int tasksAtOnce(final StepSpec step) {
    return step.gang() ? step.count() : 1;
  }

  private static long roomUnder(
      final Resources limit, final Resources used, final Resources demand) {
    return Math.min(
        quotient(limit.cpuMillis(), used.cpuMillis(), demand.cpuMillis()),
        Math.min(
            quotient(limit.memoryMb(), used.memoryMb(), demand.memoryMb()),
            quotient(limit.gpus(), used.gpus(), demand.gpus())));
  }

  /** Divides rather than multiplies: the demand of a large gang may exceed the range of a long. */
  private static long quotient(final long limit, final long used, final long demand) {
    if (limit == 0) {
      return Long.MAX_VALUE;
    }
    if (used > limit) {
      return 0;
    }
    return demand == 0 ? Long.MAX_VALUE : (limit - used) / demand;
  }

  private static boolean isLessThanHalf(final long used, final long limit) {
    return limit == 0 || used < limit - used;
  }
}
