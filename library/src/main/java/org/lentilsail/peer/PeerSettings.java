package org.lentilsail.peer;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * What a daemon knows about itself and its peers at the start.
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

  /** Copies the map, so that the settings cannot change. */
  public PeerSettings {
    peers = Map.copyOf(peers);
  }
}
