package org.lentilsail.config;

/**
 * Ownership term of a key range: the interval of key time, the creation time inside a key, in which
 * one daemon owns the idempotency keys of the range.
 *
 * @param range number of the range
 * @param daemon id of the owner
 * @param incarnation incarnation of the owner
 * @param fromMillis key time after which the term begins, in ms since the Unix epoch
 * @param toMillis last key time of the term, in ms since the Unix epoch
 */
public record KeyTerm(int range, String daemon, long incarnation, long fromMillis, long toMillis) {}
