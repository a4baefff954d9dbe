package org.lentilsail.jobs;

import java.util.List;

/**
 * Machines of a wave whose maintenance has started.
 *
 * @param machines ids of the machines
 */
record WaveDocument(List<String> machines) {

  WaveDocument {
    machines = List.copyOf(machines);
  }
}
