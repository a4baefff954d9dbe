package org.lentilsail.policy.fleet;

import org.lentilsail.model.fleet.DaemonReport;

/**
 * The last report of a daemon with its age.
 *
 * @param report the report
 * @param ageMillis time in ms since the leader received it
 */
public record ReceivedReport(DaemonReport report, long ageMillis) {
  /** Age in ms up to which a report is recent, so that its daemon counts as reporting. */
  private static final long MAX_RECENT_AGE_MILLIS = 3_000;

  /**
   * Returns whether the report is recent, so that its daemon counts as reporting.
   *
   * @return false when the report is too old
   */
  public boolean isRecent() {
    return ageMillis <= MAX_RECENT_AGE_MILLIS;
  }
}
