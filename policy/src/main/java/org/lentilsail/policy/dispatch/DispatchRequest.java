package org.lentilsail.policy.dispatch;

import java.util.Set;

/**
 * Asks the dispatcher of a service for a slot.
 *
 * @param id identifies the demand
 * @param availabilityZone availability zone of the caller's daemon
 * @param path request path without query
 * @param team team of the caller, empty when none was given
 * @param urgent whether the request goes before others
 * @param expectedMillis the caller's estimate of the run time in ms, 0 when none was given
 * @param deadlineNanos monotonic time after which the caller no longer waits
 * @param excludedVms VMs that have failed this request before
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

  /** Copies the set, so that the demand cannot change. */
  public DispatchRequest {
    excludedVms = Set.copyOf(excludedVms);
  }
}
