package org.lentilsail.measure;

/** One subcommand of the program. */
public interface MeasureCommand {
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
