package org.lentilsail.jobs;

/** Hears of the terms of this daemon, on the control thread. */
interface TermListener {
  /**
   * Hears that this daemon holds control.
   *
   * @param term the term
   * @param uninterrupted whether no other daemon has held control since the last term of this one
   */
  void elected(Term term, boolean uninterrupted);

  /** Hears that another daemon holds control. */
  void leadershipLost();
}
