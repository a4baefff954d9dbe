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

  int nextAfter(final int lastUsed) {
    final long base = (term - 1) * RUNS_PER_TERM;
    return (int) Math.max(lastUsed, base) + 1;
  }
}
