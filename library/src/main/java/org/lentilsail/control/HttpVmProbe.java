package org.lentilsail.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.http.HttpCall;
import org.lentilsail.http.HttpCaller;

/** Probes by an HTTP GET on the path that requests take. */
public final class HttpVmProbe implements VmProbe {
  /** Longest time of a probe; a probe that takes longer is no proof that the VM serves. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** Most bytes of a response; larger than any page that a probe is likely to ask for. */
  private static final int RESPONSE_LIMIT = 1 << 20;

  /** Lowest status of a server error. */
  private static final int SERVER_ERROR = 500;

  /** Sends the calls. */
  private final HttpCaller caller;

  /**
   * Creates a probe.
   *
   * @param caller sends the calls
   */
  public HttpVmProbe(final HttpCaller caller) {
    this.caller = caller;
  }

  @Override
  public CompletableFuture<Boolean> probe(final String address, final String path) {
    final int colon = address.lastIndexOf(':');
    final InetSocketAddress target =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    final HttpCall call =
        new HttpCall(target, "GET", path, List.of(), new byte[0], TIMEOUT, RESPONSE_LIMIT);
    return caller.call(call).thenApply(response -> response.status() < SERVER_ERROR);
  }
}
