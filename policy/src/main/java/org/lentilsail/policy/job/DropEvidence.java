package org.lentilsail.policy.job;

/**
 * What shows that runs have ended or that tasks are free, though no end was read.
 *
 * @param reason the reason
 * @param seen what was seen, for the log
 * @param seenAt monotonic time in ns as of which it holds: for an answer the time of the request
 */
public record DropEvidence(DropReason reason, String seen, long seenAt) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Returns the age of what was seen.
   *
   * @param now monotonic time in ns
   * @return age in ms
   */
  public long ageMillis(final long now) {
    return (now - seenAt) / NANOS_PER_MILLI;
  }
}
