package org.lentilsail.http;

import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSourceChannel;

/** Reads a response body without blocking and verifies that it is complete. */
final class ResponseBodyReader {
  /** Lowest final status; lower ones are informational and have no body. */
  private static final int FIRST_FINAL_STATUS = 200;

  /** Status of a response without a body. */
  private static final int NO_CONTENT = 204;

  /** Status of a response to a conditional request, without a body. */
  private static final int NOT_MODIFIED = 304;

  private final ClientResponse head;

  private final StreamSourceChannel channel;

  private final ByteBufferPool buffers;

  private final HttpCall call;

  /** Receives the complete response. */
  private final Consumer<HttpResponse> onComplete;

  /** Receives a failure and its description. */
  private final BiConsumer<HttpFailure, String> onFailure;

  /** The part of the body read so far. */
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  ResponseBodyReader(
      final ClientExchange exchange,
      final HttpCall call,
      final Consumer<HttpResponse> onComplete,
      final BiConsumer<HttpFailure, String> onFailure) {
    this.head = exchange.getResponse();
    this.channel = exchange.getResponseChannel();
    this.buffers = exchange.getConnection().getBufferPool();
    this.call = call;
    this.onComplete = onComplete;
    this.onFailure = onFailure;
  }

  void start() {
    readMore();
  }

  private void readMore() {
    try (PooledByteBuffer pooled = buffers.allocate()) {
      while (true) {
        final ByteBuffer buffer = pooled.getBuffer().clear();
        final int count = channel.read(buffer);
        if (count == 0) {
          channel.getReadSetter().set(ready -> readMore());
          channel.resumeReads();
          return;
        }
        if (count < 0) {
          finish();
          return;
        }
        append(buffer.flip());
        if (body.size() > call.responseLimit()) {
          onFailure.accept(
              HttpFailure.TOO_LARGE,
              "response from " + call.target() + " exceeds " + call.responseLimit() + " bytes");
          return;
        }
      }
    } catch (final IOException error) {
      onFailure.accept(
          HttpFailure.BROKEN, "response from " + call.target() + " was interrupted: " + error);
    }
  }

  private void append(final ByteBuffer buffer) {
    final byte[] chunk = new byte[buffer.remaining()];
    buffer.get(chunk);
    body.writeBytes(chunk);
  }

  private void finish() {
    if (isComplete()) {
      onComplete.accept(new HttpResponse(head.getResponseCode(), fields(), body.toByteArray()));
    } else {
      onFailure.accept(
          HttpFailure.BROKEN,
          "response from "
              + call.target()
              + " is incomplete: ended after "
              + body.size()
              + " bytes");
    }
  }

  /**
   * Returns whether the framing of the response confirms the end of the body. A body that is
   * delimited only by the close of the connection cannot be distinguished from a truncated one and
   * counts as incomplete.
   */
  private boolean isComplete() {
    final HeaderMap headers = head.getResponseHeaders();
    final String length = headers.getFirst(Headers.CONTENT_LENGTH);
    final boolean result;
    if (isBodiless()) {
      result = true;
    } else if (headers.contains(Headers.TRANSFER_ENCODING)) {
      result = headers.getFirst(Headers.TRANSFER_ENCODING).equalsIgnoreCase("chunked");
    } else {
      result = length != null && length.equals(Integer.toString(body.size()));
    }
    return result;
  }

  private boolean isBodiless() {
    final int status = head.getResponseCode();
    return call.method().equals("HEAD")
        || status < FIRST_FINAL_STATUS
        || status == NO_CONTENT
        || status == NOT_MODIFIED;
  }

  private List<HttpField> fields() {
    final List<HttpField> result = new ArrayList<>();
    for (final HeaderValues values : head.getResponseHeaders()) {
      for (final String value : values) {
        result.add(new HttpField(values.getHeaderName().toString(), value));
      }
    }
    return result;
  }
}
