package org.lentilsail.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * Describes one HTTP request to be sent.
 *
 * @param target address of the server
 * @param method request method
 * @param path path with query
 * @param fields header fields; those that belong to one connection are left out when sent
 * @param body request body, empty for none; it must not be changed afterwards
 * @param timeout longest time from now to the complete response, or to its begin when the body has
 *     a time of its own
 * @param bodyTimeout longest time from the begin of the response to its end; zero when the first
 *     time-out covers the body
 * @param responseLimit most bytes of the response body
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

  /** Copies the list, so that the call cannot change. */
  public HttpCall {
    fields = List.copyOf(fields);
  }

  /**
   * Describes a request whose time-out covers the whole response.
   *
   * @param target address of the server
   * @param method request method
   * @param path path with query
   * @param fields header fields
   * @param body request body, empty for none
   * @param timeout longest time from now to the complete response
   * @param responseLimit most bytes of the response body
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
   * Gives the body of the response a time of its own, for bodies that take long on a slow link.
   *
   * @param limit longest time from the begin of the response to its end
   * @return the changed call
   */
  public HttpCall bodyWithin(final Duration limit) {
    return new HttpCall(target, method, path, fields, body, timeout, limit, responseLimit);
  }
}
