package org.lentilsail.standin.platform;

import io.undertow.server.HttpServerExchange;

/**
 * A watch that waits for changes.
 *
 * @param exchange the call to answer
 * @param client name of the client
 * @param prefix start of the keys
 * @param after revision after which changes are wanted
 * @param endsNanos monotonic time at which it is answered without changes
 */
record WaitingWatch(
    HttpServerExchange exchange, String client, String prefix, long after, long deadlineNanos) {}
