package org.lentilsail.policy.job;

/**
 * Gives numbers to runs. Starts are not stored, so each term of the holder numbers in a range of
 * its own above the ranges of earlier terms; a number never falls behind one that an earlier holder
 * may have used.
 *
 * @param term number of the term, from 1
 */
public record RunNumbers(long term) {
  /** Runs of one task in one term; a task that lasts is restarted at most a few times a second. */
  private static final int RUNS_PER_TERM = 10_000;

  int nextAfter(final int last) {
    final long base = (term - 1) * RUNS_PER_TERM;
    return (int) Math.max(last, base) + 1;
  }
}
