package org.lentilsail.http;

import io.undertow.client.ClientConnection;

/**
 * A pooled connection that no request uses.
 *
 * @param connection the connection
 * @param sinceNanos monotonic time in ns at which it became idle
 */
record IdleConnection(ClientConnection connection, long sinceNanos) {}
