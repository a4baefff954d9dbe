package org.lentilsail.policy.job;

import org.lentilsail.model.job.Resources;

/**
 * Load of the pool of one service at a point in time.
 *
 * @param service name of the service
 * @param workers number of workers that accept tasks
 * @param capacity total capacity of these workers
 * @param longRunning resources that long-running tasks reserve or wait for
 * @param batchRunning resources that runs of batch tasks reserve
 * @param remainingCoreMillis estimated remaining work of batch tasks, in core-milliseconds;
 *     includes tasks that a quota holds back
 * @param waitingTasks number of tasks that are ready to start and have no worker, without those
 *     that a quota holds back
 * @param waitingCpu CPU that the batch tasks among them request, in millicores
 * @param arrivingCpu CPU needed to keep up with arriving jobs, in millicores; without jobs with
 *     tasks that a quota holds back
 * @param minWorkers minimum number of workers on which all long-running tasks can be placed
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
