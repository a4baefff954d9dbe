package org.lentilsail.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Computes and applies deltas of JSON objects. A delta contains the changed fields ({@code set}),
 * the names of removed fields ({@code drop}), the deltas of nested objects ({@code in}) and the
 * added and removed strings of sorted lists ({@code lists}).
 */
final class JsonDelta {
  /** Field with the changed fields, and with the added strings of a list. */
  private static final String SET = "set";

  /** Field with the names of removed fields, and with the removed strings of a list. */
  private static final String DROP = "drop";

  /** Field with the deltas of nested objects. */
  private static final String IN = "in";

  /** Field with the deltas of lists. */
  private static final String LISTS = "lists";

  private JsonDelta() {}

  /**
   * Computes the delta from one value to another.
   *
   * @param from the earlier value
   * @param to the later value
   * @return the delta, empty when no delta gives exactly the later value
   */
  static Optional<JsonNode> between(final JsonNode from, final JsonNode to) {
    Optional<JsonNode> result = Optional.empty();
    if (from instanceof ObjectNode before && to instanceof ObjectNode after) {
      final ObjectNode delta = difference(before, after);
      result = apply(before, delta).filter(after::equals).map(same -> delta);
    }
    return result;
  }

  /**
   * Applies a delta; the value is not changed and shares its unchanged parts with the result.
   *
   * @param from the earlier value
   * @param delta the delta
   * @return the later value, empty when the delta cannot be applied to the earlier value
   */
  static Optional<JsonNode> apply(final JsonNode from, final JsonNode delta) {
    Optional<JsonNode> result = Optional.empty();
    if (from instanceof ObjectNode before && delta.isObject()) {
      final ObjectNode after = JsonNodeFactory.instance.objectNode();
      after.setAll(before);
      delta.path(SET).properties().forEach(field -> after.set(field.getKey(), field.getValue()));
      delta.path(DROP).forEach(name -> after.remove(name.asText()));
      boolean fits = true;
      for (final var field : delta.path(IN).properties()) {
        final Optional<JsonNode> part = apply(before.path(field.getKey()), field.getValue());
        part.ifPresent(value -> after.set(field.getKey(), value));
        fits = fits && part.isPresent();
      }
      for (final var field : delta.path(LISTS).properties()) {
        fits = fits && before.path(field.getKey()).isArray();
        after.set(field.getKey(), list(before.path(field.getKey()), field.getValue()));
      }
      result = fits ? Optional.of(after) : Optional.empty();
    }
    return result;
  }

  private static ObjectNode difference(final ObjectNode before, final ObjectNode after) {
    final ObjectNode delta = JsonNodeFactory.instance.objectNode();
    after
        .properties()
        .forEach(
            field -> {
              final JsonNode old = before.get(field.getKey());
              if (!field.getValue().equals(old)) {
                add(delta, field.getKey(), old, field.getValue());
              }
            });
    before
        .fieldNames()
        .forEachRemaining(
            name -> {
              if (!after.has(name)) {
                delta.withArray(DROP).add(name);
              }
            });
    return delta;
  }

  private static void add(
      final ObjectNode delta, final String name, final JsonNode old, final JsonNode value) {
    if (old instanceof ObjectNode before && value instanceof ObjectNode after) {
      delta.withObjectProperty(IN).set(name, difference(before, after));
    } else if (isSortedStrings(old) && isSortedStrings(value)) {
      final ObjectNode change = delta.withObjectProperty(LISTS).putObject(name);
      putStrings(change, SET, strings(value), strings(old));
      putStrings(change, DROP, strings(old), strings(value));
    } else {
      delta.withObjectProperty(SET).set(name, value);
    }
  }

  private static void putStrings(
      final ObjectNode change,
      final String field,
      final Set<String> strings,
      final Set<String> without) {
    strings.removeAll(without);
    if (!strings.isEmpty()) {
      strings.forEach(change.putArray(field)::add);
    }
  }

  private static ArrayNode list(final JsonNode before, final JsonNode change) {
    final Set<String> result = strings(before);
    result.addAll(strings(change.path(SET)));
    result.removeAll(strings(change.path(DROP)));
    final ArrayNode list = JsonNodeFactory.instance.arrayNode();
    result.forEach(list::add);
    return list;
  }

  private static boolean isSortedStrings(final JsonNode value) {
    boolean result = value != null && value.isArray();
    String last = null;
    if (result) {
      for (final JsonNode item : value) {
        result = result && item.isTextual() && (last == null || last.compareTo(item.asText()) < 0);
        last = item.asText();
      }
    }
    return result;
  }

  private static Set<String> strings(final JsonNode list) {
    final Set<String> result = new TreeSet<>();
    list.forEach(item -> result.add(item.asText()));
    return result;
  }
}
