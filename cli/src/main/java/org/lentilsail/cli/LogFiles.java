package org.lentilsail.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Reads logs of daemons. */
final class LogFiles {
  /** Time in ms around a job in which changes of control may concern it. */
  private static final long AROUND_MILLIS = 3_000;

  private LogFiles() {}

  /** Returns the lines that name an id and the changes of control around them, by time. */
  static List<LogLine> linesAbout(final String id, final List<String> files) {
    final List<LogLine> named = new ArrayList<>();
    final List<LogLine> control = new ArrayList<>();
    for (final String file : files) {
      for (final LogLine line : read(Path.of(file))) {
        if (line.mentions(id)) {
          named.add(line);
        } else if (line.isLeadershipChange()) {
          control.add(line);
        }
      }
    }
    named.sort(Comparator.comparingLong(LogLine::atMillis));
    if (named.isEmpty()) {
      return named;
    }
    final long from = named.get(0).atMillis() - AROUND_MILLIS;
    final long to = named.get(named.size() - 1).atMillis() + AROUND_MILLIS;
    control.removeIf(line -> line.atMillis() < from || line.atMillis() > to);
    named.addAll(control);
    named.sort(Comparator.comparingLong(LogLine::atMillis));
    return named;
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
