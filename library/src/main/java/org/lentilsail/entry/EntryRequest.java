package org.lentilsail.entry;

import java.util.List;
import java.util.Set;
import org.lentilsail.http.HttpField;

/**
 * Completely received request of a caller.
 *
 * @param service name of the service
 * @param method request method
 * @param path path with query, without the prefix of the service
 * @param fields header fields that are forwarded
 * @param body request body; it must not be changed
 * @param key idempotency key, empty for none
 * @param team team of the caller, empty for none
 * @param urgent whether the request has priority over others
 * @param expectedMillis the caller's estimate of the run time in ms, 0 for none
 * @param deadlineNanos monotonic time after which the caller no longer waits
 */
public record EntryRequest(
    String service,
    String method,
    String path,
    List<HttpField> fields,
    byte[] body,
    String key,
    String team,
    boolean urgent,
    long expectedMillis,
    long deadlineNanos) {
  /** Methods of requests that may be repeated when they have no key. */
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

  /** Copies the list, so that the request cannot change. */
  public EntryRequest {
    fields = List.copyOf(fields);
  }

  /**
   * Returns whether the request may run more than once.
   *
   * @return whether it is idempotent
   */
  public boolean isIdempotent() {
    return key.isEmpty() && IDEMPOTENT_METHODS.contains(method);
  }

  /**
   * Returns the path without the query.
   *
   * @return the path by which run times are grouped
   */
  public String pathWithoutQuery() {
    final int query = path.indexOf('?');
    return query < 0 ? path : path.substring(0, query);
  }
}
