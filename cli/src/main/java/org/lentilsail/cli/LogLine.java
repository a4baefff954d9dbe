package org.lentilsail.cli;

import java.time.Instant;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of the structured log of a daemon.
 *
 * @param atMillis wall clock time of the daemon, in ms since the Unix epoch
 * @param log name of the log file
 * @param content the part of the line that starts with the event
 */
record LogLine(long atMillis, String log, String content) {
  private static final Pattern PATTERN = Pattern.compile(".*?\\bat=(\\d+) (event=.*)");

  /** Parses a line; empty for lines that are not part of the structured log. */
  static Optional<LogLine> parse(final String log, final String line) {
    final Matcher matcher = PATTERN.matcher(line);
    return matcher.matches()
        ? Optional.of(new LogLine(Long.parseLong(matcher.group(1)), log, matcher.group(2)))
        : Optional.empty();
  }

  boolean mentions(final String id) {
    return content.contains(id);
  }

  /** Returns whether the line records a change of leadership or of a lease. */
  boolean isLeadershipChange() {
    return content.startsWith("event=control-") || content.startsWith("event=lease-");
  }

  String text() {
    return Instant.ofEpochMilli(atMillis) + " " + log + " " + content;
  }
}
