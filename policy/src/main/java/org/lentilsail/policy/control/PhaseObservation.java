package org.lentilsail.policy.control;

import org.lentilsail.model.fleet.VmPhase;

/**
 * What a holder remembers about the present phase of a VM.
 *
 * @param phase the phase
 * @param sinceMillis time of the change of phase as the document has it
 * @param bootGeneration boot generation as the document has it
 * @param revision first revision at which this holder saw the phase
 * @param progressMillis time at which this holder saw the phase or its last response
 * @param responses responses of a verifying VM
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
   * Returns the mark with a number of responses.
   *
   * @param now the number
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @return the mark, with a later time when the number has grown
   */
  PhaseObservation withResponses(final int now, final long nowMillis) {
    return now <= responses
        ? this
        : new PhaseObservation(
            phase, sinceMillis, bootGeneration, revision, nowMillis, now, probing);
  }

  /**
   * Returns the mark of a VM to which probes are sent.
   *
   * @return the mark
   */
  PhaseObservation withProbing() {
    return new PhaseObservation(
        phase, sinceMillis, bootGeneration, revision, progressMillis, responses, true);
  }
}
