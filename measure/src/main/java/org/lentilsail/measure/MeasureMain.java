package org.lentilsail.measure;

import java.util.Arrays;
import java.util.List;
import org.lentilsail.measure.fleet.CapacityCommand;
import org.lentilsail.measure.fleet.RoundCostCommand;
import org.lentilsail.measure.fleet.WavesCommand;
import org.lentilsail.measure.waiting.DispatchCostCommand;
import org.lentilsail.measure.waiting.WaitingCommand;

/** Runs measurements; the first argument selects the subcommand. */
public final class MeasureMain {
  /** Exit code for an invalid command line. */
  private static final int EXIT_USAGE = 2;

  private static final List<MeasureCommand> COMMANDS =
      List.of(
          new DistributionCommand(),
          new WaitingCommand(),
          new DispatchCostCommand(),
          new CapacityCommand(),
          new WavesCommand(),
          new RoundCostCommand());

  private MeasureMain() {}

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
    for (final MeasureCommand command : COMMANDS) {
      if (args.length > 0 && command.name().equals(args[0])) {
        return command.run(Arrays.copyOfRange(args, 1, args.length));
      }
    }
    System.err.println(
        "name a subcommand: "
            + String.join(", ", COMMANDS.stream().map(MeasureCommand::name).toList()));
    return EXIT_USAGE;
  }
}
