package org.lentilsail.system;

import java.util.ArrayList;
import java.util.List;

/**
 * Describes which VMs and entry daemons a deployment has.
 *
 * @param entries the entry daemons
 * @param vms the worker VMs
 */
record DeploymentPlan(List<EntryPlan> entries, List<VmPlan> vms) {
  /** Number of VMs in a rack. */
  private static final int RACK_SIZE = 4;

  /** Copies the lists to make the plan immutable. */
  DeploymentPlan {
    entries = List.copyOf(entries);
    vms = List.copyOf(vms);
  }

  /**
   * Returns a deployment with VMs spread evenly over availability zones.
   *
   * @param zones the availability zones
   * @param entryCount number of entry daemons
   * @param pools names of the pools
   * @param vmsPerPool number of VMs in each pool
   * @return the plan
   */
  static DeploymentPlan spread(
      final List<String> zones,
      final int entryCount,
      final List<String> pools,
      final int vmsPerPool) {
    final List<EntryPlan> entries = new ArrayList<>();
    for (int i = 0; i < entryCount; i++) {
      entries.add(new EntryPlan("e" + (i + 1), zones.get(i % zones.size())));
    }
    final List<VmPlan> vms = new ArrayList<>();
    for (final String pool : pools) {
      for (int i = 0; i < vmsPerPool; i++) {
        final int number = vms.size();
        final String zone = zones.get(i % zones.size());
        final String rack = zone + "-r" + number / (RACK_SIZE * zones.size());
        vms.add(new VmPlan(pool + "-" + (i + 1), pool, zone, rack));
      }
    }
    return new DeploymentPlan(entries, vms);
  }

  /**
   * Returns a reduced Fairway deployment: three availability zones, seven entry daemons and three
   * pools of four VMs.
   *
   * @return the plan
   */
  static DeploymentPlan smallFairway() {
    return spread(
        List.of("recife", "fortaleza", "salvador"), 7, List.of("booking", "fees", "clubdesk"), 4);
  }
}
