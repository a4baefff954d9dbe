package org.lentilsail.cli;

import java.util.Optional;
import java.util.UUID;
import java.util.logging.LogManager;

/** Starts the operators' command line. */
public final class Lentilsail {
  private Lentilsail() {}

  /**
   * Runs one command and exits with its code.
   *
   * @param args the command line
   */
  public static void main(final String[] args) {
    // The network library logs its version to the standard error stream.
    LogManager.getLogManager().reset();
    final CommandLine commandLine =
        new CommandLine(
            System.out,
            System.err,
            () -> UUID.randomUUID().toString(),
            Optional.ofNullable(System.getenv("LENTILSAIL_SERVER")));
    System.exit(commandLine.run(args));
  }
}
