package org.lentilsail.model.record;

import java.util.Map;

/**
 * Describes a service.
 *
 * @param name name of the service, the first part of its request path
 * @param pool pool whose VMs serve it
 * @param probePath path of the probe that verifies a VM when it receives no requests
 * @param timeoutMillis timeout of a request in ms
 * @param shortMillis expected run time in ms below which work counts as short
 * @param queueLimit maximum number of queued requests
 * @param teams weights of the teams' fair shares; the default weight is 1
 */
public record ServiceSpec(
    String name,
    String pool,
    String probePath,
    long timeoutMillis,
    long shortMillis,
    int queueLimit,
    Map<String, Integer> teams) {

  /** Copies the weights to make the spec immutable. */
  public ServiceSpec {
    teams = Map.copyOf(teams);
  }
}
