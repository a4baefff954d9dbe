package org.lentilsail.cli;

/** Starts the program. */
public final class Lentilsail {
  private Lentilsail() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(final String[] args) {
    System.exit(0);
  }
}
