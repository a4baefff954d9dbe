package org.lentilsail.measure;

/** Starts the program. */
public final class MeasureMain {
  private MeasureMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(final String[] args) {
    System.exit(0);
  }
}
