package org.lentilsail.standin.backend;

/**
 * State of a backend server.
 *
 * @param running number of requests that run or wait in the server
 * @param draining whether new requests are rejected
 * @param bootGeneration number of boots, from 1
 */
public record BackendStatus(int running, boolean draining, long bootGeneration) {}
