package org.lentilsail.entry;

/** Decides what the ends of a request's attempts prove; pure. */
public final class OutcomeRule {
  private OutcomeRule() {}

  /**
   * Tells whether another attempt can do no harm.
   *
   * @param end how the last attempt ended
   * @param idempotent whether the request may run more than once
   * @return whether a retry is safe
   */
  public static boolean isRetrySafe(final AttemptStatus end, final boolean idempotent) {
    return switch (end) {
      case NOT_SENT, PROVED_NOT_RUN -> true;
      case LOST -> idempotent;
      case NO_SLOT, ANSWERED -> false;
    };
  }

  /**
   * Returns the outcome of a request after its last attempt.
   *
   * @param end how the last attempt ended
   * @param lostBefore whether an earlier attempt ended as {@code LOST}
   * @return the outcome over all attempts
   */
  public static Outcome outcome(final AttemptStatus end, final boolean lostBefore) {
    return switch (end) {
      case ANSWERED -> Outcome.RAN;
      case LOST -> Outcome.UNKNOWN;
      case NO_SLOT, NOT_SENT, PROVED_NOT_RUN -> lostBefore ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    };
  }
}
