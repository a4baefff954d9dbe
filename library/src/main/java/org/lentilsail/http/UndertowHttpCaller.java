package org.lentilsail.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.model.time.TimeSource;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Implementation on Undertow's HTTP client; thread-safe. */
public final class UndertowHttpCaller implements HttpCaller {
  /** Size in bytes of a network buffer. */
  private static final int BUFFER_BYTES = 16 * 1024;

  private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

  /** I/O threads; owned by the creator of this object. */
  private final XnioWorker worker;

  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

  private final ConnectionPool pool;

  /**
   * Creates a client.
   *
   * @param worker I/O threads; not closed by this object
   * @param time clock that measures the idle time of connections
   */
  public UndertowHttpCaller(final XnioWorker worker, final TimeSource time) {
    this.worker = worker;
    this.pool = new ConnectionPool(time);
  }

  @Override
  public CompletableFuture<HttpResponse> call(final HttpCall call) {
    final CallInProgress progress = new CallInProgress(call, pool);
    progress.startTimeout(worker.getIoThread(), call.timeout());
    pool.acquire(call.target()).ifPresentOrElse(progress::send, () -> connect(call, progress));
    return progress.response();
  }

  @Override
  public void close() {
    pool.close();
    buffers.close();
  }

  /** Connects to the target. The call fails if its address cannot be used, like any other call. */
  private void connect(final HttpCall call, final CallInProgress progress) {
    try {
      connect(uri(call.target()), progress);
    } catch (final URISyntaxException | IllegalArgumentException error) {
      progress.fail(
          HttpFailure.CONNECT, "cannot connect to " + call.target() + ": " + error.getMessage());
    }
  }

  private void connect(final URI uri, final CallInProgress progress) {
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<>() {
              @Override
              public void completed(final ClientConnection connection) {
                if (progress.response().isDone()) {
                  IoUtils.safeClose(connection);
                } else {
                  progress.send(connection);
                }
              }

              @Override
              public void failed(final IOException error) {
                progress.fail(HttpFailure.CONNECT, "cannot connect to " + uri + ": " + error);
              }
            },
            uri,
            worker,
            buffers,
            OPTIONS);
  }

  /** Returns the URI of a target, with an address of IPv6 in brackets. */
  private static URI uri(final InetSocketAddress target) throws URISyntaxException {
    return new URI("http", null, target.getHostString(), target.getPort(), null, null, null);
  }
}
