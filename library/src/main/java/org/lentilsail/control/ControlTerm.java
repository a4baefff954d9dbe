package org.lentilsail.control;

import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.policy.control.ControllerState;

/**
 * What a holder knows from the write that made it the holder until it loses control.
 *
 * @param lease id of the lease under which control is held
 * @param document the fleet document as it was last written
 * @param revision revision of the document
 * @param memory what the rounds remember
 */
record ControlTerm(String lease, FleetDocument document, long revision, ControllerState memory) {
  /**
   * Returns the term after a write.
   *
   * @param next the written document
   * @param nextRevision its revision
   * @return the term
   */
  ControlTerm afterWrite(final FleetDocument next, final long nextRevision) {
    return new ControlTerm(lease, next, nextRevision, memory);
  }

  /**
   * Returns the term with a document whose actions may not have been carried out; they are
   * repeated.
   *
   * @param next the document that the platform has
   * @param nextRevision its revision
   * @return the term
   */
  ControlTerm afterRecovery(final FleetDocument next, final long nextRevision) {
    return new ControlTerm(lease, next, nextRevision, new ControllerState());
  }
}
