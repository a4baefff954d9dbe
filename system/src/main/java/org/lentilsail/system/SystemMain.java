package org.lentilsail.system;

/** Runs whole deployments: the first argument names the subcommand. */
public final class SystemMain {
  private SystemMain() {}

  /**
   * Runs the program.
   *
   * @param args name of the subcommand and its arguments
   * @throws Exception when the subcommand cannot go on
   */
  public static void main(final String[] args) throws Exception {
    System.exit(2);
  }
}
