package org.lentilsail.jobs;

import java.util.List;

/**
 * Machines with recent orders.
 *
 * @param unanswered ids of the machines with an order that may still be carried out
 * @param answered ids of the machines whose last order was answered a short time ago
 */
record MachineOrdersDocument(List<String> unanswered, List<String> answered) {

  MachineOrdersDocument {
    unanswered = List.copyOf(unanswered);
    answered = List.copyOf(answered);
  }
}
