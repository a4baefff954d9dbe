package org.lentilsail.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

/** Writes a request body without blocking. */
final class RequestBodyWriter {
  private final StreamSinkChannel channel;

  private final ByteBuffer remaining;

  /** Receives a description of a failure. */
  private final Consumer<String> onFailure;

  private RequestBodyWriter(
      final StreamSinkChannel channel, final byte[] body, final Consumer<String> onFailure) {
    this.channel = channel;
    this.remaining = ByteBuffer.wrap(body);
    this.onFailure = onFailure;
  }

  static void write(
      final StreamSinkChannel channel, final byte[] body, final Consumer<String> onFailure) {
    new RequestBodyWriter(channel, body, onFailure).writeMore();
  }

  private void writeMore() {
    try {
      while (remaining.hasRemaining()) {
        if (channel.write(remaining) == 0) {
          channel.getWriteSetter().set(ready -> writeMore());
          channel.resumeWrites();
          return;
        }
      }
      finish();
    } catch (final IOException error) {
      onFailure.accept("cannot write the request body: " + error);
    }
  }

  private void finish() throws IOException {
    channel.shutdownWrites();
    if (!channel.flush()) {
      channel
          .getWriteSetter()
          .set(
              ChannelListeners.flushingChannelListener(
                  null,
                  (flushed, error) -> onFailure.accept("cannot flush the request body: " + error)));
      channel.resumeWrites();
    }
  }
}
