package org.lentilsail.model.job;

/**
 * Configuration of a job queue.
 *
 * @param name name of the queue
 * @param host host name under which callers reach it
 * @param prefix path prefix under which callers reach it
 * @param service name of the service that runs the tasks of its jobs
 * @param priority scheduling priority, 0 is the highest
 * @param maxAttempts number of failed runs of a task after which its job fails
 * @param stretch factor that the latency objective applies to the critical path of a job
 * @param targetLatencyMillis constant part of the latency objective in ms
 * @param requiresAdvice whether only workers permitted by the advice service may run its steps
 * @param publicAccess whether callers need no key of an organisation
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
    boolean requiresAdvice,
    boolean publicAccess) {}
