package org.lentilsail.policy.job;

import org.lentilsail.model.job.TaskId;

/**
 * An unfinished run in the status report of a worker.
 *
 * @param task the task
 * @param run number of the run
 * @param checkpoint last checkpoint, empty if there is none
 * @param cpuLimitPercent percentage of its CPU that the run may use, -1 if not reported
 * @param usage tail response time in ms for a task with a response time target, otherwise CPU usage
 *     in millicores; -1 if not reported
 */
public record ActiveRun(TaskId task, int run, String checkpoint, int cpuLimitPercent, long usage) {}
