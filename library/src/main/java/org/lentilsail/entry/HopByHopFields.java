package org.lentilsail.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.lentilsail.http.HttpField;

/** Leaves out the fields that belong to one connection (RFC 9110, section 7.6.1). */
final class HopByHopFields {
  /** Fields that are never passed on. */
  private static final Set<String> HOP_FIELDS =
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

  /** Returns the fields that are passed on; fields that {@code Connection} names are not. */
  static List<HttpField> endToEnd(final List<HttpField> fields) {
    final Set<String> dropped = new HashSet<>(HOP_FIELDS);
    for (final HttpField field : fields) {
      if (field.name().equalsIgnoreCase("connection")) {
        for (final String name : field.value().split(",")) {
          dropped.add(name.trim().toLowerCase(Locale.ROOT));
        }
      }
    }
    return fields.stream()
        .filter(field -> !dropped.contains(field.name().toLowerCase(Locale.ROOT)))
        .toList();
  }
}
