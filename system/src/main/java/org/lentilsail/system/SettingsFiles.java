package org.lentilsail.system;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;

/** Writes the settings files for the processes of a deployment. */
final class SettingsFiles {
  /** Delay in ms before a change appears in the platform's list of VMs. */
  private static final int LIST_LAG_MILLIS = 300;

  /** Time in ms after which the platform reports an unresponsive VM as gone. */
  private static final int GONE_MILLIS = 4_000;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Path directory;

  private final DeploymentPlan plan;

  private final FleetAddresses addresses;

  /** Links through which the daemons connect to each other and to the platform. */
  private final FleetLinks links;

  SettingsFiles(
      final Path directory,
      final DeploymentPlan plan,
      final FleetAddresses addresses,
      final FleetLinks links) {
    this.directory = directory;
    this.plan = plan;
    this.addresses = addresses;
    this.links = links;
  }

  Path platform() throws IOException {
    final ObjectNode root = JSON.createObjectNode();
    root.put("listen", FleetAddresses.hostAndPort(addresses.platformPort()));
    root.put("listLagMillis", LIST_LAG_MILLIS);
    root.put("goneMillis", GONE_MILLIS);
    final ArrayNode vms = root.putArray("vms");
    for (final VmPlan vm : plan.vms()) {
      vms.addObject()
          .put("vm", vm.vm())
          .put("role", "worker")
          .put("address", FleetAddresses.hostAndPort(addresses.backendPorts().get(vm.vm())))
          .put("availabilityZone", vm.availabilityZone())
          .put("rack", vm.rack())
          .put("pool", vm.pool());
    }
    return write("platform.json", root);
  }

  Path entry(final EntryPlan entry) throws IOException {
    final ObjectNode root = JSON.createObjectNode();
    final String id = entry.id();
    root.put("id", id);
    root.put("region", "main");
    root.put("availabilityZone", entry.availabilityZone());
    root.put("callerAddress", FleetAddresses.hostAndPort(addresses.callerPorts().get(id)));
    root.put("adminAddress", FleetAddresses.hostAndPort(addresses.adminPorts().get(id)));
    root.put("peerAddress", FleetAddresses.hostAndPort(addresses.peerPorts().get(id)));
    root.put("platformAddress", FleetAddresses.hostAndPort(links.platformPort(id)));
    final ArrayNode peers = root.putArray("peers");
    for (final EntryPlan peer : plan.entries()) {
      if (!peer.equals(entry)) {
        peers
            .addObject()
            .put("id", peer.id())
            .put("address", FleetAddresses.hostAndPort(links.peerPort(id, peer.id())))
            .put("availabilityZone", peer.availabilityZone());
      }
    }
    return write(id + ".json", root);
  }

  private Path write(final String name, final ObjectNode root) throws IOException {
    final Path file = directory.resolve(name);
    JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), root);
    return file;
  }
}
