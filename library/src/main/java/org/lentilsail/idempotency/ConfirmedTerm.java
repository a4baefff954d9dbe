package org.lentilsail.idempotency;

/**
 * A confirmed term of this daemon.
 *
 * @param fromMillis key time after which the term begins
 * @param toMillis last key time of the term
 */
record ConfirmedTerm(long fromMillis, long toMillis) {
  boolean covers(final long millis) {
    return millis > fromMillis && millis <= toMillis;
  }
}
