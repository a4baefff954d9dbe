package org.lentilsail.policy.dispatch;

import java.util.Set;

/**
 * A request for a slot of a service.
 *
 * @param id identifies the request
 * @param availabilityZone availability zone of the caller's daemon
 * @param path request path without query
 * @param team team of the caller, empty when none was given
 * @param urgent whether the request takes precedence over those that are not urgent
 * @param expectedMillis the caller's estimate of the run time in ms, 0 when none was given
 * @param deadlineNanos monotonic time in ns after which the caller no longer waits
 * @param excludedVms VMs on which this request has already failed
 */
public record DispatchRequest(
    DispatchRequestId id,
    String availabilityZone,
    String path,
    String team,
    boolean urgent,
    long expectedMillis,
    long deadlineNanos,
    Set<String> excludedVms) {

  /** Copies the set to make the request immutable. */
  public DispatchRequest {
    excludedVms = Set.copyOf(excludedVms);
  }
}
