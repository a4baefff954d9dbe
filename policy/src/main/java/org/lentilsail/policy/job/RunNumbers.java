package org.lentilsail.policy.job;

/**
 * Assigns run numbers. Starts are not persisted, so each term uses its own range above the ranges
 * of earlier terms; a number is always higher than any number that an earlier leader may have used.
 *
 * @param term number of the leadership term, starting at 1
 */
public record RunNumbers(long term) {
  /**
   * Maximum runs of one task in one term; a long-running task is restarted at most a few times per
   * second.
   */
  private static final int RUNS_PER_TERM = 10_000;

  /** Highest number at which the range of a term begins; later terms share the last range. */
  private static final int MAX_BASE = 2_000_000_000;

  int nextAfter(final int lastUsed) {
    final long base = Math.min(term - 1, MAX_BASE / RUNS_PER_TERM) * RUNS_PER_TERM;
    return (int) Math.max(lastUsed, base) + 1;
  }
}
