package org.lentilsail.dispatch;

import java.util.Set;

/**
 * The requirements of a request that needs a slot on a worker.
 *
 * @param service name of the service
 * @param path request path without query; run times are estimated by path
 * @param team team of the caller, empty when none was given
 * @param urgent whether the request has priority over others
 * @param expectedMillis the caller's estimate of the run time in ms, 0 when none was given
 * @param deadlineNanos time after which the caller no longer waits, by the daemon's monotonic clock
 * @param excludedVms VMs on which this request has already failed
 */
public record SlotRequirements(
    String service,
    String path,
    String team,
    boolean urgent,
    long expectedMillis,
    long deadlineNanos,
    Set<String> excludedVms) {

  /** Copies the set, so that the requirements are immutable. */
  public SlotRequirements {
    excludedVms = Set.copyOf(excludedVms);
  }
}
