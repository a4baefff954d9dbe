package org.lentilsail.standin.backend;

import io.undertow.server.HttpServerExchange;

/**
 * A request that waits for a slot or runs.
 *
 * @param exchange HTTP exchange of the request
 * @param body body of the request
 * @param key idempotency key, empty for none
 * @param id id that the load tool assigned, empty for none
 * @param runMillis run time in ms
 * @param failure injected fault of the request
 */
record BackendRequest(
    HttpServerExchange exchange,
    byte[] body,
    String key,
    String id,
    long runMillis,
    FailureMode failure) {}
