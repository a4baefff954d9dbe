package org.lentilsail.jobs;

import java.util.List;

/**
 * Machines with orders that may still be carried out.
 *
 * @param machines ids of the machines
 */
record MachineOrdersDocument(List<String> machines) {

  MachineOrdersDocument {
    machines = List.copyOf(machines);
  }
}
