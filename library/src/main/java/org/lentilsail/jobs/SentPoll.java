package org.lentilsail.jobs;

/**
 * A poll in flight.
 *
 * @param number number of the poll in this session
 * @param sentAt monotonic time in ns at which it was sent
 * @param sentTo start of the incarnation that was known when it was sent, in ms since the Unix
 *     epoch
 * @param token its fencing token
 * @param acknowledged sequence number of the last finished run that it acknowledges, 0 for none
 */
record SentPoll(int number, long sentAt, long sentTo, long token, long acknowledged) {}
