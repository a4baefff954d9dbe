package org.lentilsail.jobs;

/** Is notified when this daemon becomes the leader or loses leadership, on the control thread. */
interface TermListener {
  /**
   * Called when this daemon has become the leader.
   *
   * @param term the term
   * @param uninterrupted whether no other daemon was the leader since the last term of this one
   */
  void elected(Term term, boolean uninterrupted);

  /** Called when the store has confirmed the leadership of this daemon again after failures. */
  void leadershipConfirmed();

  /** Called when this daemon has lost or resigned leadership. */
  void leadershipLost();
}
