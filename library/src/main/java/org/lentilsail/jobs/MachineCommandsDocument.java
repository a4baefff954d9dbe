package org.lentilsail.jobs;

import java.util.List;
import java.util.Map;

/**
 * Machines with recent orders.
 *
 * @param unanswered machines with an order that may still be carried out: the worker that it ends
 *     by id of the machine, empty for a machine without one
 * @param answered ids of the machines whose last order was answered a short time ago
 */
record MachineCommandsDocument(Map<String, String> unanswered, List<String> answered) {

  MachineCommandsDocument {
    unanswered = Map.copyOf(unanswered);
    answered = List.copyOf(answered);
  }
}
