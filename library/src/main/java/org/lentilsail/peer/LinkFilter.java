package org.lentilsail.peer;

/** Decides at the receiver which messages arrive, so that tests can cut links. */
@FunctionalInterface
public interface LinkFilter {
  /** Lets everything pass. */
  LinkFilter PASS_ALL = (from, to) -> true;

  /**
   * Tells whether messages arrive.
   *
   * @param from id of the sender
   * @param to id of the receiver
   * @return false when they are lost without notice
   */
  boolean passes(String from, String to);
}
