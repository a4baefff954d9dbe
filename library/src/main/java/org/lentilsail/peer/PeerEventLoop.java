package org.lentilsail.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.time.TimeSource;
import org.tinylog.Logger;

/** The one thread that owns all connections between daemons. */
final class PeerEventLoop implements AutoCloseable {
  /** Time in ms between two ticks; time-outs and silence are noticed at most this late. */
  private static final long TICK_MILLIS = 20;

  /** Longest time in ms to wait for the thread at the end. */
  private static final long JOIN_MILLIS = 2_000;

  /** Size in bytes of one read. */
  private static final int READ_BYTES = 64 * 1024;

  /** Buffer of all reads; a buffer for each read was most of what a request allocated. */
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);

  /** Waits for channels. */
  private final Selector selector;

  /** Tasks of other threads. */
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

  /** Clock of the ticks. */
  private final TimeSource time;

  /** Runs in each tick. */
  private final Runnable tick;

  /** Runs at the end, on the loop's thread. */
  private final Runnable end;

  /** The thread. */
  private final Thread thread;

  /** Whether the loop is to end. */
  private volatile boolean closed;

  PeerEventLoop(final String name, final TimeSource time, final Runnable tick, final Runnable end)
      throws IOException {
    this.selector = Selector.open();
    this.time = time;
    this.tick = tick;
    this.end = end;
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Runs a task on the loop's thread. A task that comes after the end runs at once instead. */
  void execute(final Runnable task) {
    tasks.add(task);
    if (closed && !thread.isAlive()) {
      runTasks();
    } else if (Thread.currentThread() != thread) {
      selector.wakeup();
    }
  }

  /** Returns the buffer of reads, for the loop's thread only. */
  ByteBuffer readBuffer() {
    return readBuffer;
  }

  boolean isClosed() {
    return closed;
  }

  SelectionKey register(
      final SelectableChannel channel, final int operations, final Runnable onReady)
      throws IOException {
    channel.configureBlocking(false);
    return channel.register(selector, operations, onReady);
  }

  @Override
  public void close() {
    closed = true;
    selector.wakeup();
    try {
      thread.join(JOIN_MILLIS);
    } catch (final InterruptedException error) {
      Thread.currentThread().interrupt();
    }
    runTasks();
  }

  private void run() {
    long nextTick = time.nanos();
    while (!closed) {
      try {
        if (tasks.isEmpty()) {
          selector.select(TICK_MILLIS);
        } else {
          selector.selectNow();
        }
        final List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
        selector.selectedKeys().clear();
        ready.forEach(key -> attempt((Runnable) key.attachment()));
        runTasks();
        if (time.nanos() - nextTick >= 0) {
          nextTick = time.nanos() + TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);
          attempt(tick);
        }
      } catch (final IOException error) {
        Logger.error(error, "peer: waiting for connections failed");
      }
    }
    attempt(end);
    try {
      selector.close();
    } catch (final IOException error) {
      Logger.warn("peer: selector was not closed: {}", error.getMessage());
    }
  }

  private void runTasks() {
    Runnable task = tasks.poll();
    while (task != null) {
      attempt(task);
      task = tasks.poll();
    }
  }

  private static void attempt(final Runnable task) {
    try {
      task.run();
    } catch (final RuntimeException error) {
      Logger.error(error, "peer: a task failed");
    }
  }
}
