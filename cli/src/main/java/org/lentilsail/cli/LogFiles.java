package org.lentilsail.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Searches the log files of daemons. */
final class LogFiles {
  /**
   * Time in ms before and after the lines of a job within which leadership changes are included.
   */
  private static final long CONTEXT_MILLIS = 3_000;

  private LogFiles() {}

  /**
   * Returns the lines that mention an ID and the leadership changes around them, in chronological
   * order.
   */
  static List<LogLine> linesAbout(final String id, final List<String> files) {
    final List<LogLine> matches = new ArrayList<>();
    final List<LogLine> leadershipChanges = new ArrayList<>();
    for (final String file : files) {
      for (final LogLine line : read(Path.of(file))) {
        if (line.mentions(id)) {
          matches.add(line);
        } else if (line.isLeadershipChange()) {
          leadershipChanges.add(line);
        }
      }
    }
    matches.sort(Comparator.comparingLong(LogLine::atMillis));
    if (matches.isEmpty()) {
      return matches;
    }
    final long from = matches.get(0).atMillis() - CONTEXT_MILLIS;
    final long to = matches.get(matches.size() - 1).atMillis() + CONTEXT_MILLIS;
    leadershipChanges.removeIf(line -> line.atMillis() < from || line.atMillis() > to);
    matches.addAll(leadershipChanges);
    matches.sort(Comparator.comparingLong(LogLine::atMillis));
    return matches;
  }

  private static List<LogLine> read(final Path file) {
    final String name = file.getFileName().toString();
    return TextFiles.read(file)
        .lines()
        .map(line -> LogLine.parse(name, line))
        .flatMap(Optional::stream)
        .toList();
  }
}
