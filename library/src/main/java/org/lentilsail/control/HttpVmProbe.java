package org.lentilsail.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.http.HttpCall;
import org.lentilsail.http.HttpCaller;

/** Probes a VM by an HTTP GET to its backend server, over the same path as requests. */
public final class HttpVmProbe implements VmProbe {
  /** Time limit of a probe; a slower response does not count as answered. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /**
   * Maximum size of a response in bytes; larger than any page that a probe is likely to request.
   */
  private static final int MAX_RESPONSE_BYTES = 1 << 20;

  private static final int SERVER_ERROR = 500;

  private final HttpCaller httpClient;

  /**
   * Creates a probe.
   *
   * @param httpClient sends the calls
   */
  public HttpVmProbe(final HttpCaller httpClient) {
    this.httpClient = httpClient;
  }

  @Override
  public CompletableFuture<Boolean> probe(final String address, final String path) {
    final int colon = address.lastIndexOf(':');
    final InetSocketAddress target =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    final HttpCall call =
        new HttpCall(target, "GET", path, List.of(), new byte[0], TIMEOUT, MAX_RESPONSE_BYTES);
    return httpClient.call(call).thenApply(response -> response.status() < SERVER_ERROR);
  }
}
