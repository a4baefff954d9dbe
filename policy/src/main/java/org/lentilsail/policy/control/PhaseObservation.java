package org.lentilsail.policy.control;

import org.lentilsail.model.fleet.VmPhase;

/**
 * Observations of the leader about the current phase of a VM.
 *
 * @param phase the phase
 * @param sinceMillis time of the phase change in the document
 * @param bootGeneration boot generation in the document
 * @param revision first document revision at which this leader saw the phase
 * @param progressMillis time at which this leader first saw the phase or last saw a new response
 * @param responses number of responses of a verifying VM
 * @param probing whether probes are sent to the VM
 */
record PhaseObservation(
    VmPhase phase,
    long sinceMillis,
    long bootGeneration,
    long revision,
    long progressMillis,
    int responses,
    boolean probing) {

  /**
   * Returns a copy with a number of responses.
   *
   * @param count the number
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @return the copy, with {@code nowMillis} as the time of the last response when the number has
   *     grown
   */
  PhaseObservation withResponses(final int count, final long nowMillis) {
    return count <= responses
        ? this
        : new PhaseObservation(
            phase, sinceMillis, bootGeneration, revision, nowMillis, count, probing);
  }

  /**
   * Returns a copy for a VM to which probes are sent.
   *
   * @return the copy
   */
  PhaseObservation withProbing() {
    return new PhaseObservation(
        phase, sinceMillis, bootGeneration, revision, progressMillis, responses, true);
  }
}
