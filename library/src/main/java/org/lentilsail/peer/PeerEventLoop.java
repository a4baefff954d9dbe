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

/** Event loop to whose thread all connections between daemons are confined. */
final class PeerEventLoop implements AutoCloseable {
  /** Interval of the ticks in ms; timeouts and loss of liveness are detected at most this late. */
  private static final long TICK_MILLIS = 20;

  /** Maximum time in ms to wait for the thread on close. */
  private static final long JOIN_MILLIS = 2_000;

  private static final int READ_BYTES = 64 * 1024;

  /** Shared by all reads; a buffer for each read caused most of the allocation of a request. */
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);

  private final Selector selector;

  /** Tasks submitted by any thread. */
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

  private final TimeSource time;
  private final Runnable tick;

  /** Runs on the loop's thread when the loop ends. */
  private final Runnable end;

  private final Thread thread;
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

  /** Runs a task on the loop's thread, or on the caller's thread if the loop has ended. */
  void execute(final Runnable task) {
    tasks.add(task);
    if (closed && !thread.isAlive()) {
      runTasks();
    } else if (Thread.currentThread() != thread) {
      selector.wakeup();
    }
  }

  /** Returns the read buffer; to be used on the loop's thread only. */
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
        ready.forEach(key -> runLogged((Runnable) key.attachment()));
        runTasks();
        if (time.nanos() - nextTick >= 0) {
          nextTick = time.nanos() + TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);
          runLogged(tick);
        }
      } catch (final IOException error) {
        Logger.error(error, "peer: selecting ready connections failed");
      }
    }
    runLogged(end);
    try {
      selector.close();
    } catch (final IOException error) {
      Logger.warn("peer: closing the selector failed: {}", error.getMessage());
    }
  }

  private void runTasks() {
    Runnable task = tasks.poll();
    while (task != null) {
      runLogged(task);
      task = tasks.poll();
    }
  }

  private static void runLogged(final Runnable task) {
    try {
      task.run();
    } catch (final RuntimeException error) {
      Logger.error(error, "peer: a task failed");
    }
  }
}
