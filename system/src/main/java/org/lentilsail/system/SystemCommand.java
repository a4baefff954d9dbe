package org.lentilsail.system;

/** One subcommand of the program. */
interface SystemCommand {
  /**
   * Returns the name on the command line.
   *
   * @return the name
   */
  String name();

  /**
   * Runs the subcommand.
   *
   * @param args the arguments after the name
   * @return the exit code
   * @throws Exception when the subcommand cannot go on
   */
  int run(String[] args) throws Exception;
}
