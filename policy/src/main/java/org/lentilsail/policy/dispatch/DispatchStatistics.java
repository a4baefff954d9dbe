package org.lentilsail.policy.dispatch;

/**
 * Statistics of a dispatcher for the state dump.
 *
 * @param workers workers of the service
 * @param slots slots that the modes and the health of the workers allow to be used
 * @param busySlots slots in use
 * @param longSlots slots in use by long work
 * @param waitingShort queued requests for short work
 * @param waitingLong queued requests for long work
 * @param estimates number of learned run time estimates
 */
public record DispatchStatistics(
    int workers,
    int slots,
    int busySlots,
    int longSlots,
    int waitingShort,
    int waitingLong,
    int estimates) {}
