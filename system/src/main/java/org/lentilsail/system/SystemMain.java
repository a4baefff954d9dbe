package org.lentilsail.system;

import java.util.Arrays;
import java.util.List;

/** Runs local deployments; the first argument selects the subcommand. */
public final class SystemMain {
  /** Exit code for an invalid command line. */
  private static final int EXIT_USAGE = 2;

  private static final List<SystemCommand> COMMANDS =
      List.of(new QuickstartCommand(), new BenchPathCommand(), new SlopesCommand());

  private SystemMain() {}

  /**
   * Runs the program.
   *
   * @param args name of the subcommand and its arguments
   * @throws Exception when the subcommand fails
   */
  public static void main(final String[] args) throws Exception {
    final int exitCode = run(args);
    System.exit(exitCode);
  }

  private static int run(final String[] args) throws Exception {
    for (final SystemCommand command : COMMANDS) {
      if (args.length > 0 && command.name().equals(args[0])) {
        return command.run(Arrays.copyOfRange(args, 1, args.length));
      }
    }
    System.err.println(
        "name a subcommand: "
            + String.join(", ", COMMANDS.stream().map(SystemCommand::name).toList()));
    return EXIT_USAGE;
  }
}
