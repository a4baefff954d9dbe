package org.lentilsail.policy.job;

import org.lentilsail.model.job.Resources;

/**
 * Load of the pool of one service at one moment.
 *
 * @param service name of the service
 * @param workers workers that may get work
 * @param capacity capacity of these workers
 * @param lasting what tasks that last reserve or wait for
 * @param shortRunning what the runs of other tasks reserve
 * @param workMillis estimated work left of jobs that are not done, in core-milliseconds
 * @param waitingTasks tasks that could start and have no worker
 * @param waitingCpu processor that the short ones of these tasks ask for, in thousandths of a core
 * @param arrivingCpu processor that would keep up with the jobs that arrive, in thousandths of a
 *     core
 * @param minWorkers fewest workers on which all tasks that last find a place
 */
public record PoolLoad(
    String service,
    int workers,
    Resources capacity,
    Resources longRunning,
    Resources batchRunning,
    double remainingCoreMillis,
    int waitingTasks,
    long waitingCpu,
    long arrivingCpu,
    int minWorkers) {}
