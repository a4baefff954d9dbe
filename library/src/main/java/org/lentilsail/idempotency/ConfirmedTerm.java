package org.lentilsail.idempotency;

/**
 * Ownership term of this daemon that the platform has confirmed.
 *
 * @param fromMillis key time after which the term begins
 * @param toMillis last key time of the term
 */
record ConfirmedTerm(long fromMillis, long toMillis) {
  boolean covers(final long millis) {
    return millis > fromMillis && millis <= toMillis;
  }
}
