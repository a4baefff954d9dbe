package org.lentilsail.model.job;

import java.util.List;

/**
 * Asks for the maintenance of machines.
 *
 * @param number number of the wave
 * @param machines ids of the machines
 * @param durationMillis time in ms in which all should be maintained
 * @param atMost most machines that may be down for it at once
 */
public record WaveRequest(
    long number, List<String> machines, long durationMillis, int maxUnavailable) {

  /** Copies the list, so that the request cannot change. */
  public WaveRequest {
    machines = List.copyOf(machines);
  }
}
