package org.lentilsail.standin;

/** Starts the program. */
public final class StandinMain {
  private StandinMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(final String[] args) {
    System.exit(0);
  }
}
