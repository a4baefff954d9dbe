package org.lentilsail.model.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Reads the fields of one JSON object and reports every fault. A field with a fault yields its
 * default value, so that reading continues. An explicit null counts as a missing field.
 */
public final class JsonObjectReader {
  /** Path of the object, empty for the document itself. */
  private final String path;

  private final JsonNode object;

  private final Consumer<Fault> faults;

  /** Names of the fields read so far. */
  private final Set<String> known = new LinkedHashSet<>();

  /**
   * Creates a reader.
   *
   * @param path path of the object, empty for the document itself
   * @param node the object; anything else is a fault and is treated as an empty object
   * @param faults receives the faults
   */
  public JsonObjectReader(final String path, final JsonNode node, final Consumer<Fault> faults) {
    this.path = path;
    this.faults = faults;
    this.object = node.isObject() ? node : JsonNodeFactory.instance.objectNode();
    if (!node.isObject()) {
      faults.accept(
          new Fault(path.isEmpty() ? "document" : path, node.toString(), "write a JSON object"));
    }
  }

  /** Returns the path of a field of this object. */
  public String pathOf(final String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  /** Returns the unchecked value of a field and records the name as known. */
  public Optional<JsonNode> node(final String name) {
    known.add(name);
    return Optional.ofNullable(object.get(name)).filter(value -> !value.isNull());
  }

  /**
   * Reads a required text.
   *
   * @param name name of the field
   * @param valid condition that a valid text meets
   * @param remedy how to correct the field, for the fault
   * @return the text, empty when it has a fault
   */
  public String requiredText(
      final String name, final Predicate<String> valid, final String remedy) {
    if (node(name).isEmpty()) {
      addFault(name, remedy);
    }
    return text(name, "", valid, remedy);
  }

  /**
   * Reads a text.
   *
   * @param name name of the field
   * @param defaultValue text when the field is missing
   * @param valid condition that a valid text meets
   * @param remedy how to correct the field, for the fault
   * @return the text
   */
  public String text(
      final String name,
      final String defaultValue,
      final Predicate<String> valid,
      final String remedy) {
    return node(name)
        .map(
            value -> {
              final boolean accepted = value.isTextual() && valid.test(value.textValue());
              if (!accepted) {
                addFault(name, remedy);
              }
              return accepted ? value.textValue() : defaultValue;
            })
        .orElse(defaultValue);
  }

  /**
   * Reads an integer.
   *
   * @param name name of the field
   * @param defaultValue number when the field is missing
   * @param minimum smallest valid number
   * @param maximum largest valid number
   * @return the number
   */
  public long integer(
      final String name, final long defaultValue, final long minimum, final long maximum) {
    return node(name)
        .map(
            value -> {
              final boolean accepted =
                  value.isIntegralNumber()
                      && value.canConvertToLong()
                      && value.longValue() >= minimum
                      && value.longValue() <= maximum;
              if (!accepted) {
                addFault(name, "write a whole number from " + minimum + " to " + maximum);
              }
              return accepted ? value.longValue() : defaultValue;
            })
        .orElse(defaultValue);
  }

  /** Reads a number above 0, or returns the default when the field is missing. */
  public double number(final String name, final double defaultValue) {
    return node(name)
        .map(
            value -> {
              final boolean accepted =
                  value.isNumber() && value.decimalValue().compareTo(BigDecimal.ZERO) > 0;
              if (!accepted) {
                addFault(name, "write a number above 0");
              }
              return accepted ? value.doubleValue() : defaultValue;
            })
        .orElse(defaultValue);
  }

  /** Reads a boolean, or returns the default when the field is missing. */
  public boolean flag(final String name, final boolean defaultValue) {
    return node(name)
        .map(
            value -> {
              if (!value.isBoolean()) {
                addFault(name, "write true or false");
              }
              return value.isBoolean() ? value.booleanValue() : defaultValue;
            })
        .orElse(defaultValue);
  }

  /** Returns the reader of a nested object, which is empty when the field is missing. */
  public JsonObjectReader child(final String name) {
    final JsonNode value = node(name).orElseGet(JsonNodeFactory.instance::objectNode);
    return new JsonObjectReader(pathOf(name), value, faults);
  }

  /** Returns the elements of an array, none when the field is missing. */
  public List<JsonNode> list(final String name) {
    final JsonNode value = node(name).orElseGet(JsonNodeFactory.instance::arrayNode);
    if (!value.isArray()) {
      addFault(name, "write a JSON list");
    }
    return value.isArray() ? List.copyOf(elements(value)) : List.of();
  }

  /** Reports a fault of a field. */
  public void addFault(final String name, final String remedy) {
    final JsonNode value = object.get(name);
    faults.accept(new Fault(pathOf(name), value == null ? "" : value.toString(), remedy));
  }

  /** Reports a fault for each field that was not read, with the nearest known name. */
  public void rejectUnknownFields() {
    object.fieldNames().forEachRemaining(this::checkKnown);
  }

  /**
   * Reports a fault for each field that was not read, except explicit nulls, which remove fields
   * unknown to this program.
   */
  public void rejectUnknownNonNullFields() {
    object
        .fieldNames()
        .forEachRemaining(
            name -> {
              if (!object.get(name).isNull()) {
                checkKnown(name);
              }
            });
  }

  private void checkKnown(final String name) {
    if (!known.contains(name)) {
      addFault(
          name,
          NearestName.of(name, known)
              .map(suggestion -> "this field is unknown; did you mean " + suggestion + "?")
              .orElse("this field is unknown; remove it"));
    }
  }

  private static List<JsonNode> elements(final JsonNode list) {
    final List<JsonNode> elements = new ArrayList<>();
    list.forEach(elements::add);
    return elements;
  }
}
