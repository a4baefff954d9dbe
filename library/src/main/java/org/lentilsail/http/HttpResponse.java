package org.lentilsail.http;

import java.util.List;
import java.util.Optional;

/**
 * A complete response.
 *
 * @param status status code
 * @param fields header fields
 * @param body complete body
 */
public record HttpResponse(int status, List<HttpField> fields, byte[] body) {

  /** Copies the list, so that the response cannot change. */
  public HttpResponse {
    fields = List.copyOf(fields);
  }

  /**
   * Returns the first value of a header field.
   *
   * @param name name of the field in any case
   * @return the value, empty when the response does not have the field
   */
  public Optional<String> field(final String name) {
    return fields.stream()
        .filter(field -> field.name().equalsIgnoreCase(name))
        .map(HttpField::value)
        .findFirst();
  }
}
