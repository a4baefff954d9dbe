package org.lentilsail.jobs;

/**
 * A term in which this daemon is the leader.
 *
 * @param number term number, which is the fencing token of all its commands
 * @param revision revision of the term item in the store; a transaction that requires it is not
 *     applied once another daemon is the leader
 */
record Term(long number, long revision) {}
