package org.lentilsail.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * An HTTP request to be sent, with its timeouts and response size limit.
 *
 * @param target address of the server
 * @param method request method
 * @param path path with query
 * @param fields header fields; connection-specific fields are omitted when the request is sent
 * @param body request body, empty for none; must not be modified afterwards
 * @param timeout maximum time from the start of the call to the complete response, or to its header
 *     when {@code bodyTimeout} is not zero
 * @param bodyTimeout maximum time from the response header to the end of the body; zero when {@code
 *     timeout} covers the body
 * @param responseLimit maximum size of the response body in bytes
 */
public record HttpCall(
    InetSocketAddress target,
    String method,
    String path,
    List<HttpField> fields,
    byte[] body,
    Duration timeout,
    Duration bodyTimeout,
    int responseLimit) {

  /** Creates an immutable copy of the header fields. */
  public HttpCall {
    fields = List.copyOf(fields);
  }

  /**
   * Creates a request whose timeout covers the full response.
   *
   * @param target address of the server
   * @param method request method
   * @param path path with query
   * @param fields header fields
   * @param body request body, empty for none
   * @param timeout maximum time from the start of the call to the complete response
   * @param responseLimit maximum size of the response body in bytes
   */
  public HttpCall(
      final InetSocketAddress target,
      final String method,
      final String path,
      final List<HttpField> fields,
      final byte[] body,
      final Duration timeout,
      final int responseLimit) {
    this(target, method, path, fields, body, timeout, Duration.ZERO, responseLimit);
  }

  /**
   * Returns a copy with a separate timeout for the response body, for large bodies on slow links.
   *
   * @param limit maximum time from the response header to the end of the body
   * @return the copy
   */
  public HttpCall withBodyTimeout(final Duration limit) {
    return new HttpCall(target, method, path, fields, body, timeout, limit, responseLimit);
  }
}
