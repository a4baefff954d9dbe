package org.lentilsail.standin.backend;

/**
 * Limits of a backend server.
 *
 * @param slots maximum number of concurrent requests
 * @param connections maximum number of open connections; further ones are closed at once
 * @param runMillis run time in ms of a request that does not state its own
 * @param rebootMillis time in ms for which a rebooting server refuses connections
 */
public record BackendSettings(int slots, int connections, long runMillis, long rebootMillis) {}
