package org.lentilsail.standin;

/** A subcommand of the program. */
public interface StandinCommand {
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
   * @throws Exception when the subcommand fails
   */
  int run(String[] args) throws Exception;
}
