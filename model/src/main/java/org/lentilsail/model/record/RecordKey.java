package org.lentilsail.model.record;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifies a record.
 *
 * @param kind kind of the record
 * @param name name of the record
 */
public record RecordKey(RecordKind kind, String name) {
  /** Prefix of the keys of records in the platform's store. */
  public static final String PREFIX = "config/";

  /** Pattern of record names. */
  private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]{0,62}");

  /** Pattern of the keys of records in the platform's store. */
  private static final Pattern KEY = Pattern.compile(PREFIX + "([a-z]+)/([^/]+)");

  /** Returns whether a text is a valid name of a record. */
  public static boolean validName(final String name) {
    return NAME.matcher(name).matches();
  }

  /** Returns the kind with this text form, empty when there is none. */
  public static Optional<RecordKind> kindOf(final String text) {
    Optional<RecordKind> found = Optional.empty();
    for (final RecordKind kind : RecordKind.values()) {
      if (kind.text().equals(text)) {
        found = Optional.of(kind);
      }
    }
    return found;
  }

  /** Parses a key of the platform's store; empty when it is not the key of a record. */
  public static Optional<RecordKey> parse(final String key) {
    final Matcher matcher = KEY.matcher(key);
    return matcher.matches() && validName(matcher.group(2))
        ? kindOf(matcher.group(1)).map(kind -> new RecordKey(kind, matcher.group(2)))
        : Optional.empty();
  }

  /** Returns the key of the record in the platform's store. */
  public String platformKey() {
    return PREFIX + kind.text() + "/" + name;
  }

  /** Returns kind and name for messages, as {@code pool/birdie}. */
  @Override
  public String toString() {
    return kind.text() + "/" + name;
  }
}
