package org.lentilsail.policy.job;

/** Counts the runs of a job and records since when it has had none. */
final class JobActivity {
  private int runs;
  private long idleSince;

  /** Returns whether a task of the job has a run in any phase. */
  boolean hasRuns() {
    return runs > 0;
  }

  /**
   * Returns since when a job without runs has been waiting.
   *
   * @return monotonic time in ns at which its last run that had begun ended, or at which its first
   *     task became ready
   */
  long idleSince() {
    return idleSince;
  }

  void restartWait(final long now) {
    idleSince = now;
  }

  void recordStart() {
    runs++;
  }

  void recordEnd() {
    runs--;
  }
}
