package org.lentilsail.model.job;

import java.util.List;

/**
 * A machine that runs workers, as listed by the platform.
 *
 * @param id id of the machine
 * @param pool name of the service whose pool it is in
 * @param state state of the machine
 * @param zone availability zone
 * @param labels kind and rack of the machine
 * @param capacity resources available to tasks
 * @param worker id of its current worker, empty if there is none
 */
public record Machine(
    String id,
    String pool,
    MachineState state,
    String zone,
    List<String> labels,
    Resources capacity,
    String worker) {

  /** Copies the list to make the entry immutable. */
  public Machine {
    labels = List.copyOf(labels);
  }
}
