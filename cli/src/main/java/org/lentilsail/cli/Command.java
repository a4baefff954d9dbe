package org.lentilsail.cli;

import joptsimple.OptionParser;

/** One subcommand. */
interface Command {
  /** Returns the name on the command line. */
  String name();

  /** Returns the arguments for the usage line. */
  String arguments();

  /** Returns one sentence for the overview. */
  String summary();

  /** Declares the options beyond the common ones. */
  default void declare(final OptionParser parser) {}

  /** Tells whether the command calls daemons and so needs their addresses. */
  default boolean callsDaemons() {
    return true;
  }

  /** Runs the command; a failure is an exception with a code. */
  void run(Invocation invocation);
}
