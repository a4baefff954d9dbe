package org.lentilsail.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Computes the difference between two JSON objects and applies it. A difference has the changed
 * fields ({@code set}), the names of removed fields ({@code drop}), the differences of objects
 * ({@code in}) and the added and removed texts of sorted lists ({@code lists}).
 */
final class JsonDelta {
  /** Field with the changed fields, and with the added texts of a list. */
  private static final String SET = "set";

  /** Field with the names of removed fields, and with the removed texts of a list. */
  private static final String DROP = "drop";

  /** Field with the differences of objects. */
  private static final String IN = "in";

  /** Field with the differences of lists. */
  private static final String LISTS = "lists";

  private JsonDelta() {}

  /**
   * Returns the difference that leads from one value to another.
   *
   * @param from the earlier value
   * @param to the later value
   * @return the difference, empty when none leads exactly to the later value
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
   * Applies a difference; the value is not changed and shares its unchanged parts with the result.
   *
   * @param from the earlier value
   * @param delta the difference
   * @return the later value, empty when the difference does not fit the earlier value
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
    } else if (isSortedTexts(old) && isSortedTexts(value)) {
      final ObjectNode change = delta.withObjectProperty(LISTS).putObject(name);
      putTexts(change, SET, texts(value), texts(old));
      putTexts(change, DROP, texts(old), texts(value));
    } else {
      delta.withObjectProperty(SET).set(name, value);
    }
  }

  private static void putTexts(
      final ObjectNode change,
      final String field,
      final Set<String> texts,
      final Set<String> without) {
    texts.removeAll(without);
    if (!texts.isEmpty()) {
      texts.forEach(change.putArray(field)::add);
    }
  }

  private static ArrayNode list(final JsonNode before, final JsonNode change) {
    final Set<String> result = texts(before);
    result.addAll(texts(change.path(SET)));
    result.removeAll(texts(change.path(DROP)));
    final ArrayNode list = JsonNodeFactory.instance.arrayNode();
    result.forEach(list::add);
    return list;
  }

  private static boolean isSortedTexts(final JsonNode value) {
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

  private static Set<String> texts(final JsonNode list) {
    final Set<String> result = new TreeSet<>();
    list.forEach(item -> result.add(item.asText()));
    return result;
  }
}
