package org.lentilsail.http;

import java.util.List;
import java.util.Optional;

/**
 * A complete HTTP response.
 *
 * @param status status code
 * @param fields header fields
 * @param body complete body
 */
public record HttpResponse(int status, List<HttpField> fields, byte[] body) {

  /** Creates an immutable copy of the header fields. */
  public HttpResponse {
    fields = List.copyOf(fields);
  }

  /**
   * Returns the first value of a header field.
   *
   * @param name case-insensitive name of the field
   * @return the value, empty when the response does not have the field
   */
  public Optional<String> field(final String name) {
    return fields.stream()
        .filter(field -> field.name().equalsIgnoreCase(name))
        .map(HttpField::value)
        .findFirst();
  }
}
