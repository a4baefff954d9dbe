package org.lentilsail.http;

import java.util.concurrent.CompletableFuture;

/** An asynchronous HTTP client. */
public interface HttpCaller extends AutoCloseable {
  /**
   * Sends a request. Cancelling the future closes the connection.
   *
   * @param call the request
   * @return the complete response, completed on an I/O thread; fails with {@code HttpCallException}
   */
  CompletableFuture<HttpResponse> call(HttpCall call);

  @Override
  void close();
}
