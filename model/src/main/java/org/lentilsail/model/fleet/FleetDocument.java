package org.lentilsail.model.fleet;

import java.util.Map;

/**
 * Holds all state of fleet control in one value, so that a single compare-and-swap can change any
 * part of it.
 *
 * @param epoch number of changes of leadership
 * @param holder id of the daemon that is the leader
 * @param vms the VMs by name; a VM has one entry and therefore belongs to one pool
 * @param waves progress of the waves by name
 */
public record FleetDocument(
    long epoch, String holder, Map<String, VmEntry> vms, Map<String, WaveProgress> waves) {

  /** Copies the maps to make the document immutable. */
  public FleetDocument {
    vms = Map.copyOf(vms);
    waves = Map.copyOf(waves);
  }

  /**
   * Returns a document without VMs and waves.
   *
   * @return the empty document
   */
  public static FleetDocument empty() {
    return new FleetDocument(0, "", Map.of(), Map.of());
  }
}
