package org.lentilsail.dispatch;

/**
 * A slot that a daemon holds, as listed in a {@link SlotReport}.
 *
 * @param number number of the request that got the slot
 * @param vm VM of the worker
 * @param path request path
 * @param team team of the caller
 * @param heldMillis time in ms since the grant
 */
public record HeldSlot(long number, String vm, String path, String team, long heldMillis) {}
