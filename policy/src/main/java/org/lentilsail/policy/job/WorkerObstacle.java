package org.lentilsail.policy.job;

/** Why a worker does not get a task of a step now; the first reason that applies. */
public enum WorkerObstacle {
  /** It is not registered, has not been polled yet or does not respond. */
  UNREACHABLE,
  /** It is being evacuated. */
  CORDONED,
  /** It is about to leave. */
  DRAINING,
  /** It has rejected a start a moment ago. */
  SUSPENDED,
  /** It is in quarantine. */
  QUARANTINED,
  /** It is on probation and has its only batch run. */
  PROBATION,
  /** It lacks a label, or has as many tasks of the step as it may have. */
  UNSUITABLE,
  /** It lacks free resources. */
  FULL,
  /** None of these: the tasks avoid it, lack a permit, or may still run for an earlier leader. */
  OTHER;

  static WorkerObstacle of(final WorkerState worker, final StepRun step, final long now) {
    if (!worker.isRegistered() || !worker.isSynced() || !worker.isResponding()) {
      return UNREACHABLE;
    }
    if (worker.isCordoned()) {
      return CORDONED;
    }
    if (worker.entry().draining()) {
      return DRAINING;
    }
    if (!worker.isAvailable(now)) {
      return SUSPENDED;
    }
    return ofAvailable(worker, step, now);
  }

  private static WorkerObstacle ofAvailable(
      final WorkerState worker, final StepRun step, final long now) {
    if (worker.health().isQuarantined(now)) {
      return QUARANTINED;
    }
    if (!worker.isSchedulable(now)) {
      return PROBATION;
    }
    if (!Placement.suits(step, worker)) {
      return UNSUITABLE;
    }
    return Placement.fits(step, worker) ? OTHER : FULL;
  }
}
