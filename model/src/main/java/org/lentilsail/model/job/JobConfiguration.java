package org.lentilsail.model.job;

import java.util.List;
import java.util.Optional;

/**
 * One version of the operators' configuration.
 *
 * @param version rises with each change
 * @param queues all queues
 * @param services all services
 * @param maxBodyBytes most bytes of a request body
 */
public record JobConfiguration(
    long version, List<QueueSpec> queues, List<ServiceSpec> services, long maxBodyBytes) {

  /** Copies the lists, so that the configuration cannot change. */
  public JobConfiguration {
    queues = List.copyOf(queues);
    services = List.copyOf(services);
  }

  /**
   * Finds the queue with the longest prefix of a path.
   *
   * @param host host name of the request
   * @param path path of the request
   * @return the queue
   */
  public Optional<QueueSpec> route(final String host, final String path) {
    QueueSpec best = null;
    for (final QueueSpec queue : queues) {
      if (queue.host().equalsIgnoreCase(host)
          && path.startsWith(queue.prefix())
          && (best == null || queue.prefix().length() > best.prefix().length())) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Finds a queue.
   *
   * @param name name of the queue
   * @return the queue
   */
  public Optional<QueueSpec> queue(final String name) {
    return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
  }

  /**
   * Finds a service.
   *
   * @param name name of the service
   * @return the service
   */
  public Optional<ServiceSpec> service(final String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }
}
