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
 * @param organisation name of the organisation that submitted it, empty for none; a job that an
 *     earlier version accepted has none
 */
public record SubmittedJob(
    String queue,
    String service,
    long acceptedMillis,
    JobSpec spec,
    QueueSpec queueSettings,
    String organisation) {

  /** Checks that only what earlier versions did not persist is missing. */
  public SubmittedJob {
    organisation = Objects.requireNonNullElse(organisation, "");
    Objects.requireNonNull(queue, "queue");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(spec, "spec");
  }

  /**
   * Returns a copy without text and steps, which a job that has ended does not need.
   *
   * @return the copy
   */
  public SubmittedJob withoutContent() {
    return new SubmittedJob(
        queue, service, acceptedMillis, spec.withoutContent(), queueSettings, organisation);
  }
}
