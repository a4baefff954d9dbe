package org.lentilsail.policy.dispatch;

/**
 * Figures of a dispatcher for the state dump.
 *
 * @param workers workers of the service
 * @param slots slots that may be used
 * @param busySlots slots in use
 * @param longSlots slots in use by long work
 * @param waitingShort demands that wait for short work
 * @param waitingLong demands that wait for long work
 * @param estimates learned run times
 */
public record DispatchStatistics(
    int workers,
    int slots,
    int busySlots,
    int longSlots,
    int waitingShort,
    int waitingLong,
    int estimates) {}
