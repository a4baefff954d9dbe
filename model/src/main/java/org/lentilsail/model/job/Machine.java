package org.lentilsail.model.job;

import java.util.List;

/**
 * What the platform lists of a machine that carries workers.
 *
 * @param id id of the machine
 * @param pool name of the service whose pool it is in
 * @param state whether it works
 * @param zone availability zone
 * @param labels its kind and its rack
 * @param capacity resources for tasks
 * @param worker id of its present worker, empty for none
 */
public record Machine(
    String id,
    String pool,
    MachineState state,
    String zone,
    List<String> labels,
    Resources capacity,
    String worker) {

  /** Copies the list, so that the entry cannot change. */
  public Machine {
    labels = List.copyOf(labels);
  }
}
