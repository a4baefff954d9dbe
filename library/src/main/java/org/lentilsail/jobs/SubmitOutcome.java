package org.lentilsail.jobs;

/** Lists what a caller learns about its submission or cancellation. */
public enum SubmitOutcome {
  /** It is kept. */
  ACCEPTED,
  /** It has certainly not been kept and never will be. */
  NOT_ACCEPTED,
  /** It may have been kept; the caller should ask again. */
  UNKNOWN,
  /** There is no such job. */
  NOT_FOUND
}
