package org.lentilsail.config;

/**
 * States which daemon owns the idempotency keys of one range for an interval of key time.
 *
 * @param range number of the range
 * @param daemon id of the owner
 * @param incarnation incarnation of the owner
 * @param fromMillis key time after which the term begins, in ms since the Unix epoch
 * @param toMillis last key time of the term, in ms since the Unix epoch
 */
public record KeyTerm(int range, String daemon, long incarnation, long fromMillis, long toMillis) {}
