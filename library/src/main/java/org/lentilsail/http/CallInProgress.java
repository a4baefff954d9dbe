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
 * Follows one call from the connection to the complete response. The connection goes back to the
 * pool only after a complete response; in every other case it is closed, so a late response cannot
 * reach another call.
 */
final class CallInProgress {
  /** The call. */
  private final HttpCall call;

  /** Where the connection goes after a complete response. */
  private final ConnectionPool pool;

  /** Completed with the response or the failure. */
  private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

  /** The connection in use, null before there is one. */
  private final AtomicReference<ClientConnection> connection = new AtomicReference<>();

  /** Ends the call when its time is over. */
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
            end();
            closeConnection();
          }
        });
  }

  CompletableFuture<HttpResponse> response() {
    return response;
  }

  /** Limits the time to the response; what is left of the former limit no longer counts. */
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
    final XnioExecutor.Key former = timer.getAndSet(key);
    if (former == null) {
      response.whenComplete((result, failure) -> timer.get().remove());
    } else {
      former.remove();
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
              if (beginWriting()) {
                target.sendRequest(ClientRequests.of(call), exchangeCallback());
              } else {
                closeConnection();
              }
            });
  }

  void fail(final HttpFailure failure, final String message) {
    response.completeExceptionally(new HttpCallException(failure, end(), message));
  }

  /**
   * Begins to write unless the call has ended. A time-out runs on another thread; without this step
   * it could report that nothing was sent just before the request is sent.
   */
  private synchronized boolean beginWriting() {
    written = !failed;
    return written;
  }

  /** Ends the call, and tells whether any byte of the request may have been written. */
  private synchronized boolean end() {
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
        fail(HttpFailure.BROKEN, "connection to " + call.target() + " broke: " + error);
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
   * Resets a connection. An ordinary close would go on sending what a network partition holds back,
   * and the server would carry the request out long after the call has been given up.
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
