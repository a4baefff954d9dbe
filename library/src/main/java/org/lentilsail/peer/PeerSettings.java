package org.lentilsail.peer;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Identity and addresses of a daemon and its configured peers.
 *
 * @param self id of this daemon
 * @param availabilityZone availability zone of this daemon
 * @param region region of this daemon
 * @param listen address at which peers connect; port 0 lets the operating system choose
 * @param peers addresses of the other daemons by id
 */
public record PeerSettings(
    String self,
    String availabilityZone,
    String region,
    InetSocketAddress listen,
    Map<String, InetSocketAddress> peers) {

  /** Copies the map, so that the settings are immutable. */
  public PeerSettings {
    peers = Map.copyOf(peers);
  }
}
