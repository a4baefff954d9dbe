package org.lentilsail.policy.job;

import org.lentilsail.model.job.TaskId;

/**
 * An end that a worker lists.
 *
 * @param number rises with each end in one life of the worker
 * @param task the task
 * @param run number of the run
 * @param how how the run ended
 * @param checkpoint last checkpoint, empty for none
 */
public record FinishedRun(
    long sequence, TaskId task, int run, RunOutcome outcome, String checkpoint) {}
