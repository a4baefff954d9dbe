package org.lentilsail.cli;

import joptsimple.OptionParser;

/** A subcommand of the command line. */
interface Command {
  /** Returns the name of the subcommand. */
  String name();

  /** Returns the arguments as shown in the usage line. */
  String arguments();

  /** Returns the description for the command overview. */
  String summary();

  /** Declares the options that are specific to this command. */
  default void declare(final OptionParser parser) {}

  /** Returns whether the command calls daemons and therefore needs their addresses. */
  default boolean callsDaemons() {
    return true;
  }

  /** Runs the command; failures are reported as {@code LentilsailException}. */
  void run(Invocation invocation);
}
