package org.lentilsail.model.record;

import java.util.Map;

/**
 * Describes a service.
 *
 * @param name name of the service, the first part of its request path
 * @param pool pool whose VMs serve it
 * @param probePath path of the probe that verifies a VM when no requests come
 * @param timeoutMillis longest run of a request in ms
 * @param shortMillis work expected to take less than this many ms is short
 * @param queueLimit most requests that wait
 * @param teams weights of the teams' fair shares; a team that is not named weighs 1
 */
public record ServiceSpec(
    String name,
    String pool,
    String probePath,
    long timeoutMillis,
    long shortMillis,
    int queueLimit,
    Map<String, Integer> teams) {

  /** Copies the weights, so that the spec cannot change. */
  public ServiceSpec {
    teams = Map.copyOf(teams);
  }
}
