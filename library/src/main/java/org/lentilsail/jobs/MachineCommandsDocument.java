package org.lentilsail.jobs;

import java.util.List;
import java.util.Map;

/**
 * Machines with recent commands.
 *
 * @param unanswered machines with a command that may still be executed: the worker that the command
 *     terminates by machine id, empty for a machine without a worker
 * @param answered ids of the machines whose last command was confirmed recently
 */
record MachineCommandsDocument(Map<String, String> unanswered, List<String> answered) {

  MachineCommandsDocument {
    unanswered = Map.copyOf(unanswered);
    answered = List.copyOf(answered);
  }
}
