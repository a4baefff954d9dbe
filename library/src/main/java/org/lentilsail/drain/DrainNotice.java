package org.lentilsail.drain;

import java.util.Map;
import org.lentilsail.peer.PeerMessage;

/**
 * Tells peers which VMs get no new work.
 *
 * @param remainingMillis time in ms for which the notice holds, by VM; a duration, because the
 *     clocks of daemons differ
 */
public record DrainNotice(Map<String, Long> remainingMillis) implements PeerMessage {
  /** Name of the message in frames. */
  public static final String TYPE = "drain-notice";

  /** Copies the map, so that the notice cannot change. */
  public DrainNotice {
    remainingMillis = Map.copyOf(remainingMillis);
  }
}
