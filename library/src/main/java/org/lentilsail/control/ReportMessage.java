package org.lentilsail.control;

import org.lentilsail.model.fleet.DaemonReport;
import org.lentilsail.peer.PeerMessage;

/**
 * Carries the report of a daemon to the holder of control.
 *
 * @param report the report
 */
public record ReportMessage(DaemonReport report) implements PeerMessage {
  /** Name of the message in frames. */
  public static final String TYPE = "report";
}
