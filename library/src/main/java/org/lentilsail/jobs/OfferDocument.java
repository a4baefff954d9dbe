package org.lentilsail.jobs;

/**
 * Offer of a daemon to take over from a leader with less CPU.
 *
 * @param term number of the term that the offer would end
 * @param daemon id of the daemon that makes the offer
 * @param processor CPU of its VM in millicores
 */
record OfferDocument(long term, String daemon, long processor) {}
