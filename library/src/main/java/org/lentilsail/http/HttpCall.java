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
 * @param timeout longest time from now to the complete response
 * @param responseLimit most bytes of the response body
 */
public record HttpCall(
    InetSocketAddress target,
    String method,
    String path,
    List<HttpField> fields,
    byte[] body,
    Duration timeout,
    int responseLimit) {

  /** Copies the list, so that the call cannot change. */
  public HttpCall {
    fields = List.copyOf(fields);
  }
}
