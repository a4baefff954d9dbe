package org.lentilsail.idempotency;

import java.util.List;
import org.lentilsail.entry.EntryResponse;
import org.lentilsail.entry.Outcome;
import org.lentilsail.http.HttpField;
import org.lentilsail.peer.PeerMessage;

/**
 * Reply to a {@link KeyedRequest} with the owner's response.
 *
 * @param outcome whether the request ran
 * @param status status code
 * @param fields header fields
 * @param body complete body
 */
public record KeyedAnswer(Outcome outcome, int status, List<HttpField> fields, byte[] body)
    implements PeerMessage {

  static KeyedAnswer of(final EntryResponse response) {
    return new KeyedAnswer(
        response.outcome(), response.status(), response.fields(), response.body());
  }

  EntryResponse toResponse() {
    return new EntryResponse(outcome, status, fields, body);
  }
}
