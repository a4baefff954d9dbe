package org.lentilsail.standin.backend;

/**
 * State of a backend server.
 *
 * @param running requests that run or wait inside the server
 * @param draining whether new requests are refused
 * @param bootGeneration number of boots, from 1
 */
public record BackendStatus(int running, boolean draining, long bootGeneration) {}
