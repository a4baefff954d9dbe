package org.lentilsail.cli;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import joptsimple.OptionParser;
import org.lentilsail.model.error.ErrorCode;

/** Formats the help texts. */
final class Help {
  private Help() {}

  /** Returns the overview of the commands. */
  static String overview() {
    return Commands.ALL.stream()
        .map(command -> "  %-8s %s".formatted(command.name(), command.summary()))
        .collect(
            Collectors.joining(
                "\n",
                "usage: lentilsail COMMAND [ARGUMENTS] [OPTIONS]\n\n",
                "\n\nOptions of each command: lentilsail COMMAND --help\n" + exitCodes()));
  }

  /** Returns the help of a command. */
  static String of(final Command command, final OptionParser parser) {
    final StringWriter options = new StringWriter();
    try {
      parser.printHelpOn(options);
    } catch (final IOException error) {
      throw new UncheckedIOException(error);
    }
    return "usage: lentilsail "
        + command.name()
        + (command.arguments().isEmpty() ? "" : " " + command.arguments())
        + " [OPTIONS]\n"
        + command.summary()
        + "\n\n"
        + options.toString().replaceAll("(?m)[ \r]+$", "")
        + "\n"
        + exitCodes();
  }

  private static String exitCodes() {
    final Map<Integer, String> codes =
        Arrays.stream(ErrorCode.values())
            .filter(code -> code.exitCode() != 0)
            .collect(
                Collectors.toMap(
                    ErrorCode::exitCode,
                    ErrorCode::text,
                    (left, right) -> left + ", " + right,
                    TreeMap::new));
    return codes.entrySet().stream()
        .map(entry -> "  %-3d %s".formatted(entry.getKey(), entry.getValue()))
        .collect(Collectors.joining("\n", "Exit codes:\n  0   done\n", ""));
  }
}
