package org.lentilsail.worker;

import org.lentilsail.model.job.TaskId;

/**
 * Starts a run.
 *
 * @param task the task
 * @param run number of the run
 * @param text what the worker is to run
 * @param untilMillis expiry of the order and of the lease that it brings, on the worker's clock
 * @param token fencing token of the holder
 * @param checkpoint where to resume, empty for the beginning
 * @param permit permit of the advice service, empty for none
 */
public record StartCommand(
    TaskId task,
    int run,
    String text,
    long expiryMillis,
    long token,
    String checkpoint,
    String permit) {}
