package org.lentilsail.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * A connection with a queue of outbound frames. All methods except {@link #reserve} run on the
 * event loop's thread.
 */
final class PeerConnection {
  /** Maximum number of queued bytes: three frames of maximum size. */
  private static final long MAX_QUEUED_BYTES = 3L * FrameReader.MAX_FRAME_BYTES;

  /** Maximum number of frames in one gathering write. */
  private static final int MAX_FRAMES_PER_WRITE = 32;

  private final SocketChannel channel;
  private final ConnectionListener listener;
  private final PeerMetrics metrics;
  private final FrameReader reader = new FrameReader();
  private final Deque<OutboundFrame> queue = new ArrayDeque<>();

  /** Queued bytes, including those reserved by other threads. */
  private final AtomicLong queuedBytes = new AtomicLong();

  /** Read buffer of the event loop, shared by its connections. */
  private ByteBuffer buffer;

  private SelectionKey key;
  private boolean closed;

  PeerConnection(
      final SocketChannel channel, final ConnectionListener listener, final PeerMetrics metrics) {
    this.channel = channel;
    this.listener = listener;
    this.metrics = metrics;
  }

  void register(final PeerEventLoop loop, final int operations) throws IOException {
    buffer = loop.readBuffer();
    key = loop.register(channel, operations, this::ready);
  }

  void established() {
    key.interestOps(SelectionKey.OP_READ);
    listener.connected(this);
  }

  /** Reserves queue capacity for a frame; callable from every thread. */
  boolean reserve(final OutboundFrame frame) {
    final boolean result = queuedBytes.addAndGet(frame.size()) <= MAX_QUEUED_BYTES;
    if (!result) {
      queuedBytes.addAndGet(-frame.size());
    }
    return result;
  }

  /** Sends a frame for which capacity was reserved. */
  void send(final OutboundFrame frame) {
    if (closed) {
      return;
    }
    queue.addLast(frame);
    if (queue.size() == 1) {
      flush();
    }
  }

  boolean isOpen() {
    return !closed;
  }

  /** Closes the connection and drops queued frames. */
  void close(final String reason) {
    if (!closed) {
      closed = true;
      try {
        channel.close();
      } catch (final IOException error) {
        Logger.debug("peer: closing a connection failed: {}", error.getMessage());
      }
      queue.clear();
      listener.closed(this, reason);
    }
  }

  private void ready() {
    try {
      if (key.isValid() && key.isConnectable() && channel.finishConnect()) {
        established();
      }
      if (key.isValid() && key.isReadable()) {
        read();
      }
      if (key.isValid() && key.isWritable()) {
        flush();
      }
    } catch (final BadFrameException error) {
      metrics.countBadFrame(error.reason());
      Logger.warn("peer: {}: {}", error.code().text(), error.getMessage());
      close(error.getMessage());
    } catch (final IOException error) {
      close(String.valueOf(error.getMessage()));
    }
  }

  private void read() throws IOException {
    buffer.clear();
    final int count = channel.read(buffer);
    if (count < 0) {
      if (!reader.isBetweenFrames()) {
        throw new BadFrameException(BadFrameReason.CUT, "a connection ended inside a frame");
      }
      close("the peer closed the connection");
      return;
    }
    metrics.countReceived(count);
    final List<byte[]> frames = reader.feed(buffer.flip());
    for (final byte[] frame : frames) {
      if (closed) {
        return;
      }
      listener.frameReceived(this, frame);
    }
  }

  private void flush() {
    try {
      while (!queue.isEmpty()) {
        if (!writeSome()) {
          key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
          return;
        }
      }
      key.interestOps(SelectionKey.OP_READ);
    } catch (final IOException error) {
      close(String.valueOf(error.getMessage()));
    }
  }

  /** Writes the first frames; returns false when the socket's send buffer is full. */
  private boolean writeSome() throws IOException {
    dropCancelled();
    final List<OutboundFrame> batch = queue.stream().limit(MAX_FRAMES_PER_WRITE).toList();
    if (batch.isEmpty()) {
      return true;
    }
    final ByteBuffer[] buffers =
        batch.stream().map(OutboundFrame::bytes).toArray(ByteBuffer[]::new);
    final long count;
    try {
      count = channel.write(buffers);
    } catch (final IOException error) {
      // Some bytes may have been sent before the failure.
      batch.forEach(OutboundFrame::markStarted);
      throw error;
    }
    metrics.countSent(count);
    for (final OutboundFrame frame : batch) {
      if (frame.bytes().position() > 0) {
        frame.markStarted();
      }
      if (!frame.bytes().hasRemaining()) {
        queue.removeFirst();
        queuedBytes.addAndGet(-frame.size());
      }
    }
    return count > 0;
  }

  private void dropCancelled() {
    queue.removeIf(
        frame -> {
          final boolean drop = frame.isCancelled() && !frame.isStarted();
          if (drop) {
            queuedBytes.addAndGet(-frame.size());
          }
          return drop;
        });
  }
}
