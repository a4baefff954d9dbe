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
 * One call of a command with its options and its means.
 *
 * @param options parsed options
 * @param client calls the daemons
 * @param out receives the results
 * @param err receives the errors
 * @param marks makes marks of writes
 */
record Invocation(
    OptionSet options,
    AdminClient client,
    PrintStream out,
    PrintStream err,
    Supplier<String> writeIds) {

  /** Returns the arguments that are not options. */
  List<String> arguments() {
    return options.nonOptionArguments().stream().map(String::valueOf).toList();
  }

  /** Returns the arguments when there are as many as the command needs. */
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

  /** Returns the value of an option. */
  Optional<String> option(final String name) {
    return options.has(name)
        ? Optional.of(String.valueOf(options.valueOf(name)))
        : Optional.empty();
  }

  /** Returns the mark that the operator gave, or a new one. */
  String writeId() {
    return option("mark").orElseGet(writeIds);
  }

  boolean json() {
    return "json".equals(options.valueOf("output"));
  }

  /** Prints a result as JSON, or as the given text for people. */
  void print(final JsonNode result, final String text) {
    out.println(json() ? result.toString() : text);
  }

  /** Prints a result as JSON, or field by field for people. */
  void print(final JsonNode result) {
    print(result, HumanText.of(result));
  }

  /** Prints an error. */
  void printError(final LentilsailException error) {
    if (json()) {
      err.println(AdminError.body(error));
    } else {
      err.println(HumanText.of(error));
    }
  }
}
