package org.lentilsail.entry;

import java.util.List;
import org.lentilsail.http.HttpField;

/**
 * What a caller gets.
 *
 * @param outcome what became of the request
 * @param status status code
 * @param fields header fields, without those of one connection
 * @param body complete body
 */
public record EntryResponse(Outcome outcome, int status, List<HttpField> fields, byte[] body) {
  /** Copies the list, so that the response cannot change. */
  public EntryResponse {
    fields = List.copyOf(fields);
  }
}
