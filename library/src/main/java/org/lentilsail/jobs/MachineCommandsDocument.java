package org.lentilsail.jobs;

import java.util.List;
import java.util.Map;

/**
 * Machines with recent commands.
 *
 * @param unanswered machines with a command that may still be executed: the worker that the command
 *     terminates by machine id, empty for a machine without a worker
 * @param answered ids of the machines whose last command was confirmed recently
 * @param remainingMillis time in ms, from the writing of this document, for which the next leader
 *     has to leave a machine alone, by machine id; absent in documents of earlier versions
 */
record MachineCommandsDocument(
    Map<String, String> unanswered, List<String> answered, Map<String, Long> remainingMillis) {

  MachineCommandsDocument {
    unanswered = Map.copyOf(unanswered);
    answered = List.copyOf(answered);
    remainingMillis = remainingMillis == null ? Map.of() : Map.copyOf(remainingMillis);
  }

  static MachineCommandsDocument empty() {
    return new MachineCommandsDocument(Map.of(), List.of(), Map.of());
  }

  /** Returns whether another document names the same machines. */
  boolean hasSameMachines(final MachineCommandsDocument other) {
    return unanswered.equals(other.unanswered) && answered.equals(other.answered);
  }
}
