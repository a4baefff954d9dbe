package org.lentilsail.cli;

import java.util.List;

/**
 * Sends a GET request to a daemon and shows the response.
 *
 * @param name name of the command
 * @param arguments arguments as shown in the usage line
 * @param summary description for the command overview
 * @param path parts of the path; the arguments are inserted between them
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
