package org.lentilsail.standin.backend;

import io.undertow.server.HttpServerExchange;

/**
 * One request that is to run.
 *
 * @param exchange the request and its way back
 * @param body body of the request
 * @param key idempotency key, empty for none
 * @param id id that the load tool gave, empty for none
 * @param runMillis run time in ms
 * @param failure fault that the request meets
 */
record BackendRequest(
    HttpServerExchange exchange,
    byte[] body,
    String key,
    String id,
    long runMillis,
    FailureMode failure) {}
