package org.lentilsail.model.job;

import java.util.Objects;

/**
 * An accepted job as it is persisted.
 *
 * @param queue name of the queue that accepted it
 * @param service name of the service that the queue was assigned to at that time
 * @param acceptedMillis wall clock time of the acceptance in ms since the Unix epoch
 * @param spec the job
 */
public record SubmittedJob(String queue, String service, long acceptedMillis, JobSpec spec) {

  /** Checks that nothing is missing. */
  public SubmittedJob {
    Objects.requireNonNull(queue, "queue");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(spec, "spec");
  }
}
