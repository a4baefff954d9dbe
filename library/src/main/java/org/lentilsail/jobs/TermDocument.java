package org.lentilsail.jobs;

/**
 * The last term of control.
 *
 * @param term number of the term; the fencing token of all its orders
 * @param holder id of the daemon that holds it
 * @param processor processor of the holder's VM in thousandths of a core
 */
record TermDocument(long term, String holder, long processor) {}
