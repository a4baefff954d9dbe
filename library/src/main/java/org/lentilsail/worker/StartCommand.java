package org.lentilsail.worker;

import org.lentilsail.model.job.TaskId;

/**
 * Command that starts a run.
 *
 * @param task the task
 * @param run number of the run
 * @param text text that tells the worker what to run
 * @param expiryMillis expiry of the command, and of the lease that it grants, in ms on the worker's
 *     clock
 * @param token fencing token of the leader
 * @param checkpoint checkpoint to resume from, empty to start from the beginning
 * @param permit permit of the advice service, empty if there is none
 */
public record StartCommand(
    TaskId task,
    int run,
    String text,
    long expiryMillis,
    long token,
    String checkpoint,
    String permit) {}
