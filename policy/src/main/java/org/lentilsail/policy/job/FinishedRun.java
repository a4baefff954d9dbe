package org.lentilsail.policy.job;

import org.lentilsail.model.job.TaskId;

/**
 * A finished run in the status report of a worker.
 *
 * @param sequence sequence number; increases with each finished run in one incarnation of the
 *     worker
 * @param task the task
 * @param run number of the run
 * @param outcome outcome of the run
 * @param checkpoint last checkpoint, empty if there is none
 */
public record FinishedRun(
    long sequence, TaskId task, int run, RunOutcome outcome, String checkpoint) {}
