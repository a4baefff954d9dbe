package org.lentilsail.dispatch;

import java.util.Set;
import org.lentilsail.peer.PeerMessage;

/**
 * Asks a dispatcher for a slot.
 *
 * @param service name of the service
 * @param number number that the asking daemon uses once
 * @param availabilityZone availability zone of the asking daemon
 * @param path request path without query
 * @param team team of the caller
 * @param urgent whether the request goes before others
 * @param expectedMillis the caller's estimate of the run time in ms, 0 when none was given
 * @param remainingMillis time in ms that the caller still waits; clocks of daemons differ
 * @param excludedVms VMs that have failed this request before
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

  /** Copies the set, so that the message cannot change. */
  public SlotRequest {
    excludedVms = Set.copyOf(excludedVms);
  }
}
