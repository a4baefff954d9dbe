package org.lentilsail.policy.job;

import java.util.List;

/**
 * Ends all but one run of a task that may not run twice. A second run exists when a start of an
 * earlier leader was executed late, or an incarnation of a worker has runs that were taken for
 * lost. Confined to the control thread.
 */
final class DuplicateRuns {
  private static final String REASON = "duplicate run";

  private final RunTracker tracker;

  DuplicateRuns(final RunTracker tracker) {
    this.tracker = tracker;
  }

  /**
   * Leaves one run of the task of a run that its worker has listed, whether the others are being
   * started or are running. A run that has begun stays rather than one that has not; of two that
   * have begun, the later one stays, so that each leader chooses the same one.
   *
   * @param listed the listed run
   */
  void stopOthers(final TaskRun listed) {
    final Task task = listed.task();
    if (task.runs().size() < 2 || task.step().spec().speculative()) {
      return;
    }
    for (final TaskRun other : List.copyOf(task.runs())) {
      if (listed.phase() == RunPhase.STOPPING) {
        return;
      }
      if (other != listed && other.phase() != RunPhase.STOPPING) {
        stop(staysInsteadOf(listed, other) ? other : listed);
      }
    }
  }

  private static boolean staysInsteadOf(final TaskRun listed, final TaskRun other) {
    return !hasBegun(other) || listed.number() > other.number();
  }

  private static boolean hasBegun(final TaskRun run) {
    if (!run.task().step().spec().gang()) {
      return run.hasBegun();
    }
    return run.task().step().tasks().stream()
        .flatMap(member -> member.runs().stream())
        .anyMatch(member -> member.number() == run.number() && member.hasBegun());
  }

  /** Stops a run; one of a gang is stopped with all members of its number. */
  private void stop(final TaskRun run) {
    if (!run.task().step().spec().gang()) {
      tracker.stop(run, REASON);
      return;
    }
    for (final Task member : run.task().step().tasks()) {
      for (final TaskRun memberRun : List.copyOf(member.runs())) {
        if (memberRun.number() == run.number()) {
          tracker.stop(memberRun, REASON);
        }
      }
    }
  }
}
