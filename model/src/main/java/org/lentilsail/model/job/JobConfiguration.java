package org.lentilsail.model.job;

import java.util.List;
import java.util.Optional;

/**
 * One version of the configuration that operators maintain.
 *
 * @param version increases with each change
 * @param queues all queues
 * @param services all services
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param organisations all organisations, empty if callers need no key
 */
public record JobConfiguration(
    long version,
    List<QueueSpec> queues,
    List<ServiceSpec> services,
    long maxBodyBytes,
    List<Organisation> organisations) {

  /** Copies the lists to make the configuration immutable. */
  public JobConfiguration {
    queues = List.copyOf(queues);
    services = List.copyOf(services);
    organisations = List.copyOf(organisations);
  }

  /**
   * Returns the configuration that holds before the first one has been received.
   *
   * @return a configuration without queues, services and organisations
   */
  public static JobConfiguration empty() {
    return new JobConfiguration(0, List.of(), List.of(), 0, List.of());
  }

  /**
   * Finds the queue whose prefix is the longest match of a path.
   *
   * @param host host name of the request, compared without regard to case
   * @param path path of the request
   * @return the queue
   */
  public Optional<QueueSpec> route(final String host, final String path) {
    QueueSpec longestMatch = null;
    for (final QueueSpec queue : queues) {
      if (queue.host().equalsIgnoreCase(host)
          && path.startsWith(queue.prefix())
          && (longestMatch == null || queue.prefix().length() > longestMatch.prefix().length())) {
        longestMatch = queue;
      }
    }
    return Optional.ofNullable(longestMatch);
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

  /**
   * Finds an organisation.
   *
   * @param name name of the organisation
   * @return the organisation
   */
  public Optional<Organisation> organisation(final String name) {
    return organisations.stream().filter(known -> known.name().equals(name)).findFirst();
  }
}
