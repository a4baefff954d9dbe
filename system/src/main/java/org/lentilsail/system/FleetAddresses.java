package org.lentilsail.system;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.lentilsail.standin.process.FreePorts;

/**
 * Ports of all processes of a deployment on the loopback address.
 *
 * @param platformPort port of the platform stand-in
 * @param callerPorts ports for callers, by daemon
 * @param adminPorts ports for operators, by daemon
 * @param peerPorts ports for peer daemons, by daemon
 * @param backendPorts ports of the backend servers, by VM
 */
record FleetAddresses(
    int platformPort,
    Map<String, Integer> callerPorts,
    Map<String, Integer> adminPorts,
    Map<String, Integer> peerPorts,
    Map<String, Integer> backendPorts) {

  /** Ports of an entry daemon: for callers, operators and peers. */
  private static final int PORTS_PER_ENTRY = 3;

  /** Copies the maps to make the addresses immutable. */
  FleetAddresses {
    callerPorts = Map.copyOf(callerPorts);
    adminPorts = Map.copyOf(adminPorts);
    peerPorts = Map.copyOf(peerPorts);
    backendPorts = Map.copyOf(backendPorts);
  }

  /**
   * Finds free ports for all processes of a deployment.
   *
   * @param plan the deployment
   * @return the ports
   */
  static FleetAddresses find(final DeploymentPlan plan) {
    final int count = 1 + PORTS_PER_ENTRY * plan.entries().size() + plan.vms().size();
    final List<Integer> free = FreePorts.find(count);
    final Iterator<Integer> ports = free.iterator();
    final Map<String, Integer> callers = new HashMap<>();
    final Map<String, Integer> admins = new HashMap<>();
    final Map<String, Integer> peers = new HashMap<>();
    final Map<String, Integer> backends = new HashMap<>();
    final int platform = ports.next();
    for (final EntryPlan entry : plan.entries()) {
      callers.put(entry.id(), ports.next());
      admins.put(entry.id(), ports.next());
      peers.put(entry.id(), ports.next());
    }
    plan.vms().forEach(vm -> backends.put(vm.vm(), ports.next()));
    return new FleetAddresses(platform, callers, admins, peers, backends);
  }

  static String hostAndPort(final int port) {
    return "127.0.0.1:" + port;
  }
}
