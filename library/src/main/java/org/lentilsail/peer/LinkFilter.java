package org.lentilsail.peer;

/** Drops messages at the receiver, so that tests can cut links. */
@FunctionalInterface
public interface LinkFilter {
  /** Passes all messages. */
  LinkFilter PASS_ALL = (from, to) -> true;

  /**
   * Returns whether messages of a link are delivered.
   *
   * @param from id of the sender
   * @param to id of the receiver
   * @return false when they are silently dropped
   */
  boolean passes(String from, String to);
}
