package org.lentilsail.standin;

import java.util.Arrays;
import java.util.List;
import org.lentilsail.standin.backend.BackendCommand;
import org.lentilsail.standin.load.LoadCommand;
import org.lentilsail.standin.platform.PlatformCommand;

/** Runs the stand-in or the load tool that the first argument names. */
public final class StandinMain {
  /** Exit code for an invalid command line. */
  private static final int EXIT_USAGE = 2;

  private static final List<StandinCommand> COMMANDS =
      List.of(new PlatformCommand(), new BackendCommand(), new LoadCommand());

  private StandinMain() {}

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
    for (final StandinCommand command : COMMANDS) {
      if (args.length > 0 && command.name().equals(args[0])) {
        return command.run(Arrays.copyOfRange(args, 1, args.length));
      }
    }
    System.err.println(
        "name a subcommand: "
            + String.join(", ", COMMANDS.stream().map(StandinCommand::name).toList()));
    return EXIT_USAGE;
  }
}
