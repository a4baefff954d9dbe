package org.lentilsail.model.job;

import java.util.List;

/**
 * Request for a maintenance wave.
 *
 * @param number number of the wave
 * @param machines ids of the machines to maintain
 * @param durationMillis time in ms within which the wave should be complete
 * @param maxUnavailable maximum number of machines that may be down for the wave at the same time
 */
public record WaveRequest(
    long number, List<String> machines, long durationMillis, int maxUnavailable) {

  /** Copies the list to make the request immutable. */
  public WaveRequest {
    machines = List.copyOf(machines);
  }
}
