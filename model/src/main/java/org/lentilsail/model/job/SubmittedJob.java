package org.lentilsail.model.job;

import java.util.Objects;

/**
 * An accepted job as it is persisted.
 *
 * @param queue name of the queue that accepted it
 * @param service name of the service that the queue was assigned to at that time
 * @param acceptedMillis wall clock time of the acceptance in ms since the Unix epoch
 * @param spec the job
 * @param queueSettings the queue as configured at that time, null for a job that an earlier version
 *     accepted; in effect while the configuration lacks the queue
 */
public record SubmittedJob(
    String queue, String service, long acceptedMillis, JobSpec spec, QueueSpec queueSettings) {

  /** Checks that nothing but the settings of the queue is missing. */
  public SubmittedJob {
    Objects.requireNonNull(queue, "queue");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(spec, "spec");
  }
}
