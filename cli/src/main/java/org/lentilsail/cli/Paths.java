package org.lentilsail.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Builds URL paths of the operators' interface. */
final class Paths {
  private Paths() {}

  /** Encodes a text as a path segment. */
  static String segment(final String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  /** Returns the path of a record that is given as {@code kind/name}. */
  static String record(final String text) {
    final String[] parts = text.split("/", -1);
    if (parts.length != 2) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT, "\"" + text + "\" is not a record name", "write KIND/NAME");
    }
    return "/v1/records/" + segment(parts[0]) + "/" + segment(parts[1]);
  }
}
