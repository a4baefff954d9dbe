package org.lentilsail.model.job;

/**
 * Describes a queue of jobs.
 *
 * @param name name of the queue
 * @param host host name under which callers reach it
 * @param prefix begin of the path under which callers reach it
 * @param service name of the service that runs its tasks
 * @param priority 0 comes first
 * @param maxAttempts failed runs after which a task is given up
 * @param stretch factor of the objective over the longest chain of work
 * @param targetLatencyMillis constant part of the objective in ms
 * @param advised whether only workers named by the advice service may run its steps
 */
public record QueueSpec(
    String name,
    String host,
    String prefix,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long targetLatencyMillis,
    boolean requiresAdvice) {}
