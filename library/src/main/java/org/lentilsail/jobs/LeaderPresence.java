package org.lentilsail.jobs;

/**
 * Knows whether there is a leader. An answer to a claim may arrive after later changes and still
 * show a leader that is gone, so a leader counts only if it is newer than the last known absence.
 * Confined to the control thread.
 */
final class LeaderPresence {
  private boolean present;

  /** Revision of the store up to which all leaders are known to be gone. */
  private long goneRevision;

  boolean isPresent() {
    return present;
  }

  /** Records that this daemon has claimed leadership. */
  void claimed() {
    present = true;
  }

  /** Records the item of a leader with its revision. */
  void shown(final long revision) {
    present |= revision > goneRevision;
  }

  /** Records that no leader is known until one is shown. */
  void forget() {
    present = false;
  }

  /** Records that the store had no leader at a revision. */
  void gone(final long revision) {
    present = false;
    goneRevision = Math.max(goneRevision, revision);
  }
}
