package org.lentilsail.policy.job;

import org.lentilsail.model.job.TaskId;

/**
 * A run that a worker lists as running.
 *
 * @param task the task
 * @param run number of the run
 * @param checkpoint last checkpoint, empty for none
 * @param percent share of its processor that the run may use, -1 when not reported
 * @param usage tail response time in ms of a serving task, else processor in thousandths of a core;
 *     -1 when not reported
 */
public record ActiveRun(TaskId task, int run, String checkpoint, int cpuLimitPercent, long usage) {}
