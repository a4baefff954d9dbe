package org.lentilsail.model.job;

/**
 * A job as it is kept from its acceptance on.
 *
 * @param queue name of the queue that accepted it
 * @param service name of the service to which the queue sent it at that time
 * @param acceptedMillis wall clock time of the acceptance in ms since the Unix epoch
 * @param spec the job
 */
public record SubmittedJob(String queue, String service, long acceptedMillis, JobSpec spec) {}
