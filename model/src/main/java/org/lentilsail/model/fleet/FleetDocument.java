package org.lentilsail.model.fleet;

import java.util.Map;

/**
 * Holds all state of control in one value, so that one compare-and-swap changes any part of it.
 *
 * @param epoch number of times that control has changed hands
 * @param holder id of the daemon that holds control
 * @param vms the VMs by name; a VM has one entry and so belongs to one pool
 * @param waves progress of the waves by name
 */
public record FleetDocument(
    long epoch, String holder, Map<String, VmEntry> vms, Map<String, WaveProgress> waves) {

  /** Copies the maps, so that the document cannot change. */
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
