package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import joptsimple.OptionSet;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/**
 * The options of a command invocation and the services that the command uses.
 *
 * @param options parsed options
 * @param client client of the daemons
 * @param out output stream for results
 * @param err output stream for errors
 * @param writeIds generates write IDs
 */
record Invocation(
    OptionSet options,
    AdminClient client,
    PrintStream out,
    PrintStream err,
    Supplier<String> writeIds) {

  /** Returns the positional arguments. */
  List<String> arguments() {
    return options.nonOptionArguments().stream().map(String::valueOf).toList();
  }

  /** Returns the positional arguments; rejects any other number of them than the given one. */
  List<String> arguments(final int count) {
    if (arguments().size() != count) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "the command takes "
              + count
              + (count == 1 ? " argument" : " arguments")
              + ", but got "
              + arguments().size(),
          "see lentilsail COMMAND --help");
    }
    return arguments();
  }

  /** Returns the value of an option, empty when it is not given. */
  Optional<String> option(final String name) {
    return options.has(name)
        ? Optional.of(String.valueOf(options.valueOf(name)))
        : Optional.empty();
  }

  /** Returns the write ID that the operator gave ({@code --mark}), or a new one. */
  String writeId() {
    return option("mark").orElseGet(writeIds);
  }

  boolean json() {
    return "json".equals(options.valueOf("output"));
  }

  /** Prints a result as JSON or as the given human-readable text, depending on {@code --output}. */
  void print(final JsonNode result, final String text) {
    out.println(json() ? result.toString() : text);
  }

  /** Prints a result as JSON or as human-readable text with one field per line. */
  void print(final JsonNode result) {
    print(result, HumanText.of(result));
  }

  /** Prints an error as JSON or as human-readable text. */
  void printError(final LentilsailException error) {
    if (json()) {
      err.println(AdminError.body(error));
    } else {
      err.println(HumanText.of(error));
    }
  }
}
