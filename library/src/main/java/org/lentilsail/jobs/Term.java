package org.lentilsail.jobs;

/**
 * A term of control of this daemon.
 *
 * @param number number of the term; the fencing token of all its orders
 * @param revision revision of the term's item in the store; a commit under the condition that it is
 *     unchanged fails as soon as another daemon holds control
 */
record Term(long number, long revision) {}
