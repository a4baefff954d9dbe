package org.lentilsail.model.fleet;

/**
 * Demand of one service as its dispatcher sees it.
 *
 * @param busySlots slots in use
 * @param queued requests that wait for a slot
 * @param refused requests refused for lack of slots since the last report
 */
public record ServiceLoad(int busySlots, int queued, int refused) {}
