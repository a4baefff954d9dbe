package org.lentilsail.policy.fleet;

import org.lentilsail.model.fleet.DaemonReport;

/**
 * The last report of a daemon with its age.
 *
 * @param report the report
 * @param ageMillis time in ms since the holder of control received it
 */
public record ReceivedReport(DaemonReport report, long ageMillis) {
  /** Age in ms after which a daemon no longer counts as heard. */
  private static final long HEARD_MILLIS = 3_000;

  /**
   * Tells whether the daemon counts as heard.
   *
   * @return false when the report is too old
   */
  public boolean isRecent() {
    return ageMillis <= HEARD_MILLIS;
  }
}
