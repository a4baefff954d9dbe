package org.lentilsail.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Reads logs of daemons. */
final class LogFiles {
  /** Time in ms around a job in which changes of control may concern it. */
  private static final long AROUND_MILLIS = 3_000;

  private LogFiles() {}

  /** Returns the lines that name an id and the changes of control around them, by time. */
  static List<LogLine> about(final String id, final List<String> files) {
    final List<LogLine> named = new ArrayList<>();
    final List<LogLine> control = new ArrayList<>();
    for (final String file : files) {
      for (final LogLine line : read(Path.of(file))) {
        if (line.names(id)) {
          named.add(line);
        } else if (line.isAboutControl()) {
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
    final List<LogLine> lines = new ArrayList<>();
    try {
      final String name = file.getFileName().toString();
      for (final String line : Files.readAllLines(file)) {
        LogLine.parse(name, line).ifPresent(lines::add);
      }
    } catch (final IOException error) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          file + " cannot be read: " + error,
          "name a readable file in UTF-8",
          error);
    }
    return lines;
  }
}
