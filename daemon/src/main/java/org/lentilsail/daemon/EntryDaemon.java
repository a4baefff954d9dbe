package org.lentilsail.daemon;

/** Starts the program. */
public final class EntryDaemon {
  private EntryDaemon() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(final String[] args) {
    System.exit(0);
  }
}
