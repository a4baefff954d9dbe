package org.lentilsail.jobs;

/**
 * Offer of a daemon to take control over from a weaker one.
 *
 * @param term number of the term that is to end
 * @param daemon id of the daemon that offers
 * @param processor processor of its VM in thousandths of a core
 */
record OfferDocument(long term, String daemon, long processor) {}
