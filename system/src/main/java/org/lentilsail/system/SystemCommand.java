package org.lentilsail.system;

/** Subcommand of the program. */
interface SystemCommand {
  /**
   * Returns the name that selects the subcommand on the command line.
   *
   * @return the name
   */
  String name();

  /**
   * Runs the subcommand.
   *
   * @param args the arguments after the name
   * @return the exit code
   * @throws Exception when the subcommand fails
   */
  int run(String[] args) throws Exception;
}
