package org.lentilsail.http;

import io.undertow.client.ClientConnection;

/**
 * An idle connection.
 *
 * @param connection the connection
 * @param sinceNanos monotonic time at which it became idle
 */
record IdleConnection(ClientConnection connection, long sinceNanos) {}
