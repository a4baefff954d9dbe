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
 * Reads the fields of one JSON object and notes every fault. A field with a fault reads as its
 * default, so that reading continues. An explicit null counts as a missing field.
 */
public final class JsonObjectReader {
  /** Path of the object, empty for the document itself. */
  private final String path;

  /** The object. */
  private final JsonNode object;

  /** Receives the faults. */
  private final Consumer<Fault> faults;

  /** Names of the fields asked for so far. */
  private final Set<String> known = new LinkedHashSet<>();

  /**
   * Creates a reader.
   *
   * @param path path of the object, empty for the document itself
   * @param node the object; anything else is a fault and reads as an empty object
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

  /** Returns a field as it is, and counts it as known. */
  public Optional<JsonNode> node(final String name) {
    known.add(name);
    return Optional.ofNullable(object.get(name)).filter(value -> !value.isNull());
  }

  /**
   * Reads a text that must be present.
   *
   * @param name name of the field
   * @param valid the condition on the text
   * @param remedy what to write
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
   * @param byDefault text when the field is missing
   * @param valid the condition on the text
   * @param remedy what to write
   * @return the text
   */
  public String text(
      final String name,
      final String byDefault,
      final Predicate<String> valid,
      final String remedy) {
    return node(name)
        .map(
            value -> {
              final boolean good = value.isTextual() && valid.test(value.textValue());
              if (!good) {
                addFault(name, remedy);
              }
              return good ? value.textValue() : byDefault;
            })
        .orElse(byDefault);
  }

  /**
   * Reads a whole number.
   *
   * @param name name of the field
   * @param byDefault number when the field is missing
   * @param least smallest valid number
   * @param most largest valid number
   * @return the number
   */
  public long integer(final String name, final long byDefault, final long least, final long most) {
    return node(name)
        .map(
            value -> {
              final boolean good =
                  value.isIntegralNumber()
                      && value.canConvertToLong()
                      && value.longValue() >= least
                      && value.longValue() <= most;
              if (!good) {
                addFault(name, "write a whole number from " + least + " to " + most);
              }
              return good ? value.longValue() : byDefault;
            })
        .orElse(byDefault);
  }

  /** Reads a number that is not negative, or returns the default when the field is missing. */
  public double number(final String name, final double byDefault) {
    return node(name)
        .map(
            value -> {
              final boolean good =
                  value.isNumber() && value.decimalValue().compareTo(BigDecimal.ZERO) > 0;
              if (!good) {
                addFault(name, "write a number above 0");
              }
              return good ? value.doubleValue() : byDefault;
            })
        .orElse(byDefault);
  }

  /** Reads a truth value, or returns the default when the field is missing. */
  public boolean flag(final String name, final boolean byDefault) {
    return node(name)
        .map(
            value -> {
              if (!value.isBoolean()) {
                addFault(name, "write true or false");
              }
              return value.isBoolean() ? value.booleanValue() : byDefault;
            })
        .orElse(byDefault);
  }

  /** Returns the reader of an inner object, which is empty when the field is missing. */
  public JsonObjectReader child(final String name) {
    final JsonNode value = node(name).orElseGet(JsonNodeFactory.instance::objectNode);
    return new JsonObjectReader(pathOf(name), value, faults);
  }

  /** Returns the elements of a list, none when the field is missing. */
  public List<JsonNode> list(final String name) {
    final JsonNode value = node(name).orElseGet(JsonNodeFactory.instance::arrayNode);
    if (!value.isArray()) {
      addFault(name, "write a JSON list");
    }
    return value.isArray() ? List.copyOf(elements(value)) : List.of();
  }

  /** Notes a fault of a field. */
  public void addFault(final String name, final String remedy) {
    final JsonNode value = object.get(name);
    faults.accept(new Fault(pathOf(name), value == null ? "" : value.toString(), remedy));
  }

  /** Notes a fault for each field that was not asked for, with the nearest known name. */
  public void rejectUnknownFields() {
    object.fieldNames().forEachRemaining(this::checkKnown);
  }

  /** Does the same, but accepts an explicit null, which removes a field that is not known here. */
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
              .map(near -> "this field is unknown; did you mean " + near + "?")
              .orElse("this field is unknown; remove it"));
    }
  }

  private static List<JsonNode> elements(final JsonNode list) {
    final List<JsonNode> elements = new ArrayList<>();
    list.forEach(elements::add);
    return elements;
  }
}
