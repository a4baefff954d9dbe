package org.lentilsail.drain;

import java.util.Map;
import org.lentilsail.peer.PeerMessage;

/**
 * Notifies peers of VMs that get no new work.
 *
 * @param remainingMillis remaining validity of the notice in ms, by VM; a duration, because the
 *     clocks of daemons differ
 */
public record DrainNotice(Map<String, Long> remainingMillis) implements PeerMessage {
  /** Type of the message in frames. */
  public static final String TYPE = "drain-notice";

  /** Copies the map, so that the notice is immutable. */
  public DrainNotice {
    remainingMillis = Map.copyOf(remainingMillis);
  }
}
