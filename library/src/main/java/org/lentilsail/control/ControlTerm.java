package org.lentilsail.control;

import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.policy.control.ControllerState;

/**
 * State of a leader from the write that made it the leader until it loses leadership.
 *
 * @param lease id of the lease under which this daemon is the leader
 * @param document the fleet document that was last written
 * @param revision revision of the document
 * @param controllerState state that is retained between rounds
 */
record ControlTerm(
    String lease, FleetDocument document, long revision, ControllerState controllerState) {
  /**
   * Returns the term after a write.
   *
   * @param next the written document
   * @param nextRevision its revision
   * @return the term
   */
  ControlTerm afterWrite(final FleetDocument next, final long nextRevision) {
    return new ControlTerm(lease, next, nextRevision, controllerState);
  }

  /**
   * Returns the term with a document read back after a lost reply. Its actions may not have been
   * executed, so the new state lets the rounds repeat them.
   *
   * @param next the stored document
   * @param nextRevision its revision
   * @return the term
   */
  ControlTerm afterRecovery(final FleetDocument next, final long nextRevision) {
    return new ControlTerm(lease, next, nextRevision, new ControllerState());
  }
}
