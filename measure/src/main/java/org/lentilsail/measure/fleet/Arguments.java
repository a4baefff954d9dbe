package org.lentilsail.measure.fleet;

import joptsimple.OptionParser;

/** Reads command-line options of the subcommands. */
final class Arguments {
  private Arguments() {}

  static String text(final String[] args, final String flag, final String defaultValue) {
    final OptionParser parser = new OptionParser();
    parser.allowsUnrecognizedOptions();
    final String name = flag.substring(2);
    parser.accepts(name).withRequiredArg();
    final Object value = parser.parse(args).valueOf(name);
    return value == null ? defaultValue : value.toString();
  }

  static long number(final String[] args, final String flag, final long defaultValue) {
    return Long.parseLong(text(args, flag, String.valueOf(defaultValue)));
  }
}
