package org.lentilsail.idempotency;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lentilsail.entry.EntryRequest;
import org.lentilsail.http.HttpField;
import org.lentilsail.peer.PeerMessage;

/**
 * Forwards a complete keyed request to the owner of its key.
 *
 * @param service name of the service
 * @param method request method
 * @param path path with query
 * @param fields header fields
 * @param body request body
 * @param key idempotency key
 * @param team team of the caller
 * @param urgent whether the request has priority over others
 * @param expectedMillis the caller's estimate of the run time in ms
 * @param remainingMillis time in ms until the deadline of the request
 */
public record KeyedRequest(
    String service,
    String method,
    String path,
    List<HttpField> fields,
    byte[] body,
    String key,
    String team,
    boolean urgent,
    long expectedMillis,
    long remainingMillis)
    implements PeerMessage {

  static KeyedRequest of(final EntryRequest request, final long remainingMillis) {
    return new KeyedRequest(
        request.service(),
        request.method(),
        request.path(),
        request.fields(),
        request.body(),
        request.key(),
        request.team(),
        request.urgent(),
        request.expectedMillis(),
        remainingMillis);
  }

  EntryRequest toRequest(final long nowNanos) {
    return new EntryRequest(
        service,
        method,
        path,
        fields,
        body,
        key,
        team,
        urgent,
        expectedMillis,
        nowNanos + TimeUnit.MILLISECONDS.toNanos(remainingMillis));
  }
}
