package org.lentilsail.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.lentilsail.model.time.TimeSource;

/**
 * Writes one line of {@code key=value} pairs for each decision. Lines pass through a bounded queue
 * to a writer thread, so that callers never block. Lines that exceed the rate limit or the queue
 * are dropped, and the next line states how many.
 */
public final class DecisionLog implements AutoCloseable {
  /** Capacity of the queue in lines. */
  private static final int QUEUE_LINES = 2_000;

  /** Rate limit in lines per second; at 200 bytes a line this bounds the volume to 80 KB/s. */
  private static final int LINES_PER_SECOND = 400;

  /** Maximum time in ms to wait for the writer thread on close. */
  private static final long CLOSE_MILLIS = 200;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final TimeSource time;
  private final PrintStream out;
  private final Thread writer;
  private long windowStart;
  private int windowLines;

  /**
   * Starts a log.
   *
   * @param time clock for the timestamps and the rate limit
   * @param out stream to which lines are written
   */
  public DecisionLog(final TimeSource time, final PrintStream out) {
    this.time = time;
    this.out = out;
    this.windowStart = time.nanos();
    writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Logs a decision.
   *
   * @param event name of the decision
   * @param pairs alternating names and values: request or task, inputs, their age, outcome
   */
  public void log(final String event, final Object... pairs) {
    if (!admit()) {
      dropped.incrementAndGet();
      return;
    }
    final StringBuilder line = new StringBuilder(160);
    line.append("at=").append(time.wallMillis()).append(" event=").append(event);
    for (int i = 0; i + 1 < pairs.length; i += 2) {
      line.append(' ').append(pairs[i]).append('=');
      append(line, String.valueOf(pairs[i + 1]));
    }
    final long droppedLines = dropped.getAndSet(0);
    if (droppedLines > 0) {
      line.append(" dropped=").append(droppedLines);
    }
    if (!queue.offer(line.toString())) {
      dropped.addAndGet(droppedLines + 1);
    }
  }

  /**
   * Returns the number of lines dropped since the last line that was written.
   *
   * @return number of lines
   */
  public long dropped() {
    return dropped.get();
  }

  @Override
  public void close() {
    writer.interrupt();
    try {
      writer.join(CLOSE_MILLIS);
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    String line = queue.poll();
    while (line != null) {
      out.println(line);
      line = queue.poll();
    }
    out.flush();
  }

  private synchronized boolean admit() {
    final long now = time.nanos();
    if (now - windowStart >= NANOS_PER_SECOND) {
      windowStart = now;
      windowLines = 0;
    }
    windowLines++;
    return windowLines <= LINES_PER_SECOND;
  }

  private static void append(final StringBuilder line, final String value) {
    final boolean quoted = value.isEmpty() || value.indexOf(' ') >= 0 || value.indexOf('\n') >= 0;
    if (quoted) {
      line.append('"').append(value.replace('"', '\'').replace('\n', ' ')).append('"');
    } else {
      line.append(value);
    }
  }

  private void write() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        out.println(queue.take());
      }
    } catch (final InterruptedException stop) {
      Thread.currentThread().interrupt();
    }
  }
}
