package org.lentilsail.cli;

import java.util.Optional;
import java.util.UUID;
import java.util.logging.LogManager;

/** Main class of the operators' command-line tool. */
public final class Lentilsail {
  private Lentilsail() {}

  /**
   * Runs a command and exits with its exit code.
   *
   * @param args command-line arguments
   */
  public static void main(final String[] args) {
    // Keeps the network library from logging its version to standard error.
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
