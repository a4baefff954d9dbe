package org.lentilsail.dispatch;

import java.util.Set;
import org.lentilsail.peer.PeerMessage;

/**
 * Requests a slot from a dispatcher.
 *
 * @param service name of the service
 * @param number number of the request, unique within the requesting daemon
 * @param availabilityZone availability zone of the requesting daemon
 * @param path request path without query
 * @param team team of the caller
 * @param urgent whether the request has priority over others
 * @param expectedMillis the caller's estimate of the run time in ms, 0 when none was given
 * @param remainingMillis remaining time in ms that the caller waits; a duration, because the clocks
 *     of daemons differ
 * @param excludedVms VMs on which this request has already failed
 */
public record SlotRequest(
    String service,
    long number,
    String availabilityZone,
    String path,
    String team,
    boolean urgent,
    long expectedMillis,
    long remainingMillis,
    Set<String> excludedVms)
    implements PeerMessage {

  /** Copies the set, so that the message is immutable. */
  public SlotRequest {
    excludedVms = Set.copyOf(excludedVms);
  }
}
