package org.lentilsail.standin.platform;

import io.undertow.server.HttpServerExchange;

/**
 * A watch that waits for changes.
 *
 * @param exchange HTTP exchange to respond to
 * @param client name of the client
 * @param prefix prefix of the keys
 * @param after revision after which changes are wanted
 * @param deadlineNanos monotonic time in ns at which the response is sent without changes
 */
record WaitingWatch(
    HttpServerExchange exchange, String client, String prefix, long after, long deadlineNanos) {}
