package org.lentilsail.entry;

import java.util.List;
import org.lentilsail.http.HttpField;

/**
 * Response to a caller.
 *
 * @param outcome whether the request ran
 * @param status status code
 * @param fields header fields without hop-by-hop fields
 * @param body complete body
 */
public record EntryResponse(Outcome outcome, int status, List<HttpField> fields, byte[] body) {
  /** Copies the list, so that the response cannot change. */
  public EntryResponse {
    fields = List.copyOf(fields);
  }
}
