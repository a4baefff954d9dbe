package org.lentilsail.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Executes one call from the open connection to the complete response. The connection returns to
 * the pool only after a complete response; in every other case it is closed, so that a late
 * response cannot be mistaken for the response to another call.
 */
final class CallInProgress {
  private final HttpCall call;

  /** Receives the connection after a complete response. */
  private final ConnectionPool pool;

  /** Completed with the response or the failure. */
  private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

  /** The connection in use, null before it is open and after it was released or closed. */
  private final AtomicReference<ClientConnection> connection = new AtomicReference<>();

  /** Timer that fails the call when its timeout expires. */
  private final AtomicReference<XnioExecutor.Key> timer = new AtomicReference<>();

  /** Whether any byte of the request may have been written; guarded by this. */
  private boolean written;

  /** Whether the call has ended without a response; guarded by this. */
  private boolean failed;

  CallInProgress(final HttpCall call, final ConnectionPool pool) {
    this.call = call;
    this.pool = pool;
    response.whenComplete(
        (result, failure) -> {
          if (failure != null) {
            markFailed();
            closeConnection();
          }
        });
  }

  CompletableFuture<HttpResponse> response() {
    return response;
  }

  /** Starts the timeout of the call and replaces an earlier one. */
  void startTimeout(final XnioIoThread thread, final Duration limit) {
    final XnioExecutor.Key key =
        thread.executeAfter(
            () ->
                fail(
                    HttpFailure.TIMEOUT,
                    "no complete response from "
                        + call.target()
                        + " within "
                        + limit.toMillis()
                        + " ms"),
            limit.toMillis(),
            TimeUnit.MILLISECONDS);
    final XnioExecutor.Key previous = timer.getAndSet(key);
    if (previous == null) {
      response.whenComplete((result, failure) -> timer.get().remove());
    } else {
      previous.remove();
    }
  }

  void send(final ClientConnection target) {
    connection.set(target);
    if (response.isDone()) {
      closeConnection();
      return;
    }
    target
        .getIoThread()
        .execute(
            () -> {
              if (tryMarkWritten()) {
                target.sendRequest(ClientRequests.of(call), exchangeCallback());
              } else {
                closeConnection();
              }
            });
  }

  void fail(final HttpFailure failure, final String message) {
    response.completeExceptionally(new HttpCallException(failure, markFailed(), message));
  }

  /**
   * Marks the request as written unless the call has failed. A timeout runs on another thread;
   * without this atomic step it could report that nothing was sent just before the request is sent.
   */
  private synchronized boolean tryMarkWritten() {
    written = !failed;
    return written;
  }

  /** Marks the call as failed and returns whether any byte of the request may have been written. */
  private synchronized boolean markFailed() {
    failed = true;
    return written;
  }

  private ClientCallback<ClientExchange> exchangeCallback() {
    return new ClientCallback<>() {
      @Override
      public void completed(final ClientExchange exchange) {
        exchange.setResponseListener(responseCallback());
        RequestBodyWriter.write(
            exchange.getRequestChannel(), call.body(), error -> fail(HttpFailure.BROKEN, error));
      }

      @Override
      public void failed(final IOException error) {
        fail(HttpFailure.BROKEN, "connection to " + call.target() + " failed: " + error);
      }
    };
  }

  private ClientCallback<ClientExchange> responseCallback() {
    return new ClientCallback<>() {
      @Override
      public void completed(final ClientExchange exchange) {
        if (!call.bodyTimeout().isZero()) {
          startTimeout(exchange.getConnection().getIoThread(), call.bodyTimeout());
        }
        new ResponseBodyReader(
                exchange, call, complete -> succeed(exchange, complete), CallInProgress.this::fail)
            .start();
      }

      @Override
      public void failed(final IOException error) {
        fail(HttpFailure.BROKEN, "no response from " + call.target() + ": " + error);
      }
    };
  }

  private void succeed(final ClientExchange exchange, final HttpResponse complete) {
    final ClientConnection used = connection.getAndSet(null);
    if (used != null) {
      if (ClientRequests.isReusable(exchange.getResponse())) {
        pool.release(call.target(), used);
      } else {
        IoUtils.safeClose(used);
      }
    }
    response.complete(complete);
  }

  private void closeConnection() {
    final ClientConnection open = connection.getAndSet(null);
    if (open != null) {
      open.getIoThread().execute(() -> abort(open));
    }
  }

  /**
   * Closes a connection with a TCP reset. After an ordinary close the kernel keeps retransmitting
   * buffered data during a network partition, and the server would execute the request long after
   * the call was abandoned.
   */
  private static void abort(final ClientConnection open) {
    try {
      open.setOption(Options.CLOSE_ABORT, true);
    } catch (final IOException error) {
      Logger.debug("http: cannot reset the connection to {}: {}", open.getPeerAddress(), error);
    }
    IoUtils.safeClose(open);
  }
}
