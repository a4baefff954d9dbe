package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are doubles. */
final class Json {
  private final String text;
  private int position;

  private Json(final String text) {
    this.text = text;
  }

  /** Reads a JSON text. */
  static Object read(final String text) {
    final Json reader = new Json(text);
    return reader.value();
  }

  /** Reads a JSON object. */
  @SuppressWarnings("unchecked")
  static Map<String, Object> object(final String text) {
    return (Map<String, Object>) read(text);
  }

  /** Returns a whole number of an object, 0 if it is missing. */
  static long number(final Map<String, Object> object, final String field) {
    final Object value = object.get(field);
    return value == null ? 0 : ((Number) value).longValue();
  }

  /** Returns a string of an object, empty if it is missing. */
  static String text(final Map<String, Object> object, final String field) {
    final Object value = object.get(field);
    return value == null ? "" : (String) value;
  }

  /** Returns an array of an object, empty if it is missing. */
  @SuppressWarnings("unchecked")
  static <T> List<T> list(final Map<String, Object> object, final String field) {
    final Object value = object.get(field);
    return value == null ? List.of() : (List<T>) value;
  }

  /** Builds an object from names and values. */
  static Map<String, Object> of(final Object... pairs) {
    final Map<String, Object> object = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      object.put((String) pairs[i], pairs[i + 1]);
    }
    return object;
  }

  /** Writes a value as JSON text. */
  static String write(final Object value) {
    final StringBuilder out = new StringBuilder();
    append(out, value);
    return out.toString();
  }

  private static void append(final StringBuilder out, final Object value) {
    if (value instanceof Map<?, ?> map) {
      String separator = "{";
      for (final Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        append(out, entry.getKey());
        out.append(':');
        append(out, entry.getValue());
        separator = ",";
      }
      out.append(map.isEmpty() ? "{}" : "}");
    } else if (value instanceof List<?> list) {
      String separator = "[";
      for (final Object element : list) {
        out.append(separator);
        append(out, element);
        separator = ",";
      }
      out.append(list.isEmpty() ? "[]" : "]");
    } else if (value instanceof String string) {
      out.append('"');
      for (int i = 0; i < string.length(); i++) {
        final char c = string.charAt(i);
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else if (value instanceof Double number && number == Math.rint(number)) {
      out.append(number.longValue());
    } else {
      out.append(value);
    }
  }

  private Object value() {
    skipBlanks();
    final char c = text.charAt(position);
    switch (c) {
      case '{':
        return objectValue();
      case '[':
        return arrayValue();
      case '"':
        return stringValue();
      case 't':
        position += 4;
        return true;
      case 'f':
        position += 5;
        return false;
      case 'n':
        position += 4;
        return null;
      default:
        return numberValue();
    }
  }

  private Map<String, Object> objectValue() {
    final Map<String, Object> object = new LinkedHashMap<>();
    position++;
    skipBlanks();
    while (text.charAt(position) != '}') {
      final String name = stringValue();
      skipBlanks();
      position++;
      object.put(name, value());
      skipSeparator();
    }
    position++;
    return object;
  }

  private List<Object> arrayValue() {
    final List<Object> array = new ArrayList<>();
    position++;
    skipBlanks();
    while (text.charAt(position) != ']') {
      array.add(value());
      skipSeparator();
    }
    position++;
    return array;
  }

  private String stringValue() {
    final StringBuilder out = new StringBuilder();
    position++;
    while (text.charAt(position) != '"') {
      char c = text.charAt(position++);
      if (c == '\\') {
        c = text.charAt(position++);
        switch (c) {
          case 'n' -> c = '\n';
          case 't' -> c = '\t';
          case 'r' -> c = '\r';
          case 'b' -> c = '\b';
          case 'f' -> c = '\f';
          case 'u' -> {
            c = (char) Integer.parseInt(text.substring(position, position + 4), 16);
            position += 4;
          }
          default -> {}
        }
      }
      out.append(c);
    }
    position++;
    return out.toString();
  }

  private Double numberValue() {
    final int start = position;
    while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) {
      position++;
    }
    return Double.valueOf(text.substring(start, position));
  }

  private void skipSeparator() {
    skipBlanks();
    if (text.charAt(position) == ',') {
      position++;
      skipBlanks();
    }
  }

  private void skipBlanks() {
    while (Character.isWhitespace(text.charAt(position))) {
      position++;
    }
  }
}
