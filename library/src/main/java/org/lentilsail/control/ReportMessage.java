package org.lentilsail.control;

import org.lentilsail.model.fleet.DaemonReport;
import org.lentilsail.peer.PeerMessage;

/**
 * The report of a daemon to the leader.
 *
 * @param report the report
 */
public record ReportMessage(DaemonReport report) implements PeerMessage {
  /** Type of the message in frames. */
  public static final String TYPE = "report";
}
