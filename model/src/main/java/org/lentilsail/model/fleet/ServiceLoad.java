package org.lentilsail.model.fleet;

/**
 * Load of one service as seen by its dispatcher.
 *
 * @param busySlots slots in use
 * @param queued requests queued for a slot
 * @param refused requests refused for lack of slots since the last report
 */
public record ServiceLoad(int busySlots, int queued, int refused) {}
