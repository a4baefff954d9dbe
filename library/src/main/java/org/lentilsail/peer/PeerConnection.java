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
 * One connection with its queue of frames to send. All methods but {@link #reserve} run on the
 * loop's thread.
 */
final class PeerConnection {
  /** Most bytes that wait to be sent; three of the largest frames. */
  private static final long MAX_QUEUED_BYTES = 3L * FrameReader.MAX_FRAME_BYTES;

  /** Most frames handed to the operating system in one call. */
  private static final int MAX_GATHERED = 32;

  /** The channel. */
  private final SocketChannel channel;

  /** Takes what happens. */
  private final ConnectionListener listener;

  /** Counts bytes and bad frames. */
  private final PeerMetrics metrics;

  /** Cuts the input into frames. */
  private final FrameReader reader = new FrameReader();

  /** Frames to send. */
  private final Deque<OutboundFrame> queue = new ArrayDeque<>();

  /** Bytes that wait, together with those reserved by other threads. */
  private final AtomicLong queuedBytes = new AtomicLong();

  /** Buffer of the loop's thread for one read. */
  private ByteBuffer buffer;

  /** Registration with the loop. */
  private SelectionKey key;

  /** Whether the connection is over. */
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

  /** Reserves room in the queue; callable from every thread. */
  boolean reserve(final OutboundFrame frame) {
    final boolean result = queuedBytes.addAndGet(frame.size()) <= MAX_QUEUED_BYTES;
    if (!result) {
      queuedBytes.addAndGet(-frame.size());
    }
    return result;
  }

  /** Sends a frame for which room was reserved. */
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

  /** Closes the connection; what was not sent is dropped. */
  void close(final String reason) {
    if (!closed) {
      closed = true;
      try {
        channel.close();
      } catch (final IOException error) {
        Logger.debug("peer: connection was not closed: {}", error.getMessage());
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
        throw new BadFrameException(BadFrameReason.CUT, "a connection ended within a frame");
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

  /** Writes the first frames; returns false when the operating system takes no more. */
  private boolean writeSome() throws IOException {
    dropCancelled();
    final List<OutboundFrame> batch = queue.stream().limit(MAX_GATHERED).toList();
    if (batch.isEmpty()) {
      return true;
    }
    final ByteBuffer[] buffers =
        batch.stream().map(OutboundFrame::bytes).toArray(ByteBuffer[]::new);
    final long count;
    try {
      count = channel.write(buffers);
    } catch (final IOException error) {
      // The system may have taken bytes before it failed.
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
