package org.lentilsail.jobs;

/**
 * The latest term.
 *
 * @param term term number, which is the fencing token of all its commands
 * @param holder id of the daemon that is the leader
 * @param processor CPU of the VM of the leader in millicores
 */
record TermDocument(long term, String holder, long processor) {}
