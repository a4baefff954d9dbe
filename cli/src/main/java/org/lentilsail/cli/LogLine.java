package org.lentilsail.cli;

import java.time.Instant;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of the structured log of a daemon.
 *
 * @param atMillis wall clock time of the daemon, in ms since the Unix epoch
 * @param log name of the file
 * @param content the line from its event on
 */
record LogLine(long atMillis, String log, String content) {
  private static final Pattern FORM = Pattern.compile(".*?\\bat=(\\d+) (event=.*)");

  /** Reads a line; empty for lines that are no decisions. */
  static Optional<LogLine> parse(final String log, final String line) {
    final Matcher matcher = FORM.matcher(line);
    return matcher.matches()
        ? Optional.of(new LogLine(Long.parseLong(matcher.group(1)), log, matcher.group(2)))
        : Optional.empty();
  }

  boolean mentions(final String id) {
    return content.contains(id);
  }

  /** Tells whether the line is about who holds control. */
  boolean isLeadershipChange() {
    return content.startsWith("event=control-") || content.startsWith("event=lease-");
  }

  String text() {
    return Instant.ofEpochMilli(atMillis) + " " + log + " " + content;
  }
}
