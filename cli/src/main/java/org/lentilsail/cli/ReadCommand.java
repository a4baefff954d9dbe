package org.lentilsail.cli;

import java.util.List;

/**
 * Shows what one path answers.
 *
 * @param name name on the command line
 * @param arguments arguments for the usage line
 * @param summary one sentence for the overview
 * @param path pieces of the path, between which the arguments stand
 */
record ReadCommand(String name, String arguments, String summary, List<String> path)
    implements Command {
  @Override
  public void run(final Invocation invocation) {
    final List<String> values = invocation.arguments(path.size() - 1);
    final StringBuilder full = new StringBuilder(path.get(0));
    for (int i = 0; i < values.size(); i++) {
      full.append(Paths.segment(values.get(i))).append(path.get(i + 1));
    }
    invocation.print(invocation.client().read(full.toString()));
  }
}
