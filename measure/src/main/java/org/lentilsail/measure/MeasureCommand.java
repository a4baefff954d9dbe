package org.lentilsail.measure;

/** Subcommand of the program. */
public interface MeasureCommand {
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
