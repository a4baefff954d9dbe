package org.lentilsail.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.lentilsail.http.HttpField;

/** Removes hop-by-hop header fields (RFC 9110, section 7.6.1). */
final class HopByHopFields {
  /** Names of the fields that are never forwarded. */
  private static final Set<String> HOP_BY_HOP_NAMES =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private HopByHopFields() {}

  /** Returns the fields that are forwarded; fields that {@code Connection} lists are not. */
  static List<HttpField> endToEnd(final List<HttpField> fields) {
    final Set<String> removed = new HashSet<>(HOP_BY_HOP_NAMES);
    for (final HttpField field : fields) {
      if (field.name().equalsIgnoreCase("connection")) {
        for (final String name : field.value().split(",")) {
          removed.add(name.trim().toLowerCase(Locale.ROOT));
        }
      }
    }
    return fields.stream()
        .filter(field -> !removed.contains(field.name().toLowerCase(Locale.ROOT)))
        .toList();
  }
}
