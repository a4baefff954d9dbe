package org.lentilsail.system;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.lentilsail.standin.process.LinkRelay;

/** Network links between entry daemons and to the platform; tests cut and restore them. */
final class FleetLinks implements AutoCloseable {
  private final DeploymentPlan plan;

  /** Relays from one daemon to another, by "from>to". */
  private final Map<String, LinkRelay> peers = new HashMap<>();

  /** Relays from a daemon to the platform, by daemon. */
  private final Map<String, LinkRelay> platform = new HashMap<>();

  FleetLinks(final DeploymentPlan plan, final FleetAddresses addresses) throws IOException {
    this.plan = plan;
    for (final EntryPlan from : plan.entries()) {
      platform.put(from.id(), new LinkRelay(addresses.platformPort()));
      for (final EntryPlan to : plan.entries()) {
        if (!from.equals(to)) {
          peers.put(from.id() + ">" + to.id(), new LinkRelay(addresses.peerPorts().get(to.id())));
        }
      }
    }
  }

  int platformPort(final String daemon) {
    return platform.get(daemon).port();
  }

  int peerPort(final String from, final String to) {
    return peers.get(from + ">" + to).port();
  }

  /**
   * Cuts or restores the links of an availability zone to the platform.
   *
   * @param zone the availability zone
   * @param cut whether the links are cut
   */
  void cutPlatform(final String zone, final boolean cut) {
    plan.entries().stream()
        .filter(entry -> entry.availabilityZone().equals(zone))
        .forEach(entry -> platform.get(entry.id()).cut(cut));
  }

  /**
   * Cuts or restores the links between daemons of an availability zone and daemons of all others.
   *
   * @param zone the availability zone
   * @param cut whether the links are cut
   */
  void cutPeers(final String zone, final boolean cut) {
    for (final EntryPlan from : plan.entries()) {
      for (final EntryPlan to : plan.entries()) {
        final boolean crosses =
            from.availabilityZone().equals(zone) != to.availabilityZone().equals(zone);
        if (crosses) {
          peers.get(from.id() + ">" + to.id()).cut(cut);
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (final LinkRelay relay : peers.values()) {
      relay.close();
    }
    for (final LinkRelay relay : platform.values()) {
      relay.close();
    }
  }
}
