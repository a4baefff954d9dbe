package org.lentilsail.entry;

/** Derives the outcome of a request and the safety of a retry from its attempts; stateless. */
public final class OutcomeRule {
  private OutcomeRule() {}

  /**
   * Returns whether a retry cannot cause a second run of a request that must not run twice.
   *
   * @param status how the last attempt ended
   * @param idempotent whether the request may run more than once
   * @return whether a retry is safe
   */
  public static boolean isRetrySafe(final AttemptStatus status, final boolean idempotent) {
    return switch (status) {
      case NOT_SENT, PROVED_NOT_RUN -> true;
      case LOST -> idempotent;
      case NO_SLOT, ANSWERED -> false;
    };
  }

  /**
   * Returns the outcome of a request after its last attempt.
   *
   * @param status how the last attempt ended
   * @param lostBefore whether an earlier attempt ended as {@code LOST}
   * @return the outcome over all attempts
   */
  public static Outcome outcome(final AttemptStatus status, final boolean lostBefore) {
    return switch (status) {
      case ANSWERED -> Outcome.RAN;
      case LOST -> Outcome.UNKNOWN;
      case NO_SLOT, NOT_SENT, PROVED_NOT_RUN -> lostBefore ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    };
  }
}
