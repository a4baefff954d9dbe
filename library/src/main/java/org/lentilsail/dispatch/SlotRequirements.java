package org.lentilsail.dispatch;

import java.util.Set;

/**
 * Asks for a slot on a worker.
 *
 * @param service name of the service
 * @param path request path without query, groups run times
 * @param team team of the caller, empty when none was given
 * @param urgent whether the request goes before others
 * @param expectedMillis the caller's estimate of the run time in ms, 0 when none was given
 * @param deadlineNanos time after which the caller no longer waits, by the daemon's monotonic clock
 * @param excludedVms VMs that have failed this request before
 */
public record SlotRequirements(
    String service,
    String path,
    String team,
    boolean urgent,
    long expectedMillis,
    long deadlineNanos,
    Set<String> excludedVms) {

  /** Copies the set, so that the demand cannot change. */
  public SlotRequirements {
    excludedVms = Set.copyOf(excludedVms);
  }
}
