package org.lentilsail.standin.backend;

/**
 * Limits of a backend server.
 *
 * @param slots most requests that run at once
 * @param connections most open connections; further ones are closed at once
 * @param runMillis run time in ms of a request that does not state its own
 * @param rebootMillis time in ms for which a reboot refuses connections
 */
public record BackendSettings(int slots, int connections, long runMillis, long rebootMillis) {}
