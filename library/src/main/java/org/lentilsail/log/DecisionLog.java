package org.lentilsail.log;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.lentilsail.model.time.TimeSource;

/**
 * Writes one line of {@code key=value} pairs for each decision. Lines pass through a queue to a
 * writer thread, so that callers never block. Lines that exceed the rate limit or the room of their
 * kind are dropped, and the next line states how many.
 */
public final class DecisionLog implements AutoCloseable {
  /** Maximum time in ms to wait for the writer thread on close. */
  private static final long CLOSE_MILLIS = 200;

  /** Holds no more lines than the budgets admit. */
  private final BlockingQueue<Line> queue = new LinkedBlockingQueue<>();

  private final Map<LineKind, LineBudget> budgets = new EnumMap<>(LineKind.class);
  private final TimeSource time;
  private final PrintStream out;
  private final Thread writer;

  /**
   * A line that waits for the writer.
   *
   * @param kind kind of the line
   * @param text the line
   */
  private record Line(LineKind kind, String text) {}

  /**
   * Starts a log.
   *
   * @param time clock for the timestamps and the rate limit
   * @param out stream to which lines are written
   */
  public DecisionLog(final TimeSource time, final PrintStream out) {
    this.time = time;
    this.out = out;
    for (final LineKind kind : LineKind.values()) {
      budgets.put(kind, new LineBudget(kind, time.nanos()));
    }
    writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Logs a decision; the name of the event tells the kind of the line.
   *
   * @param event name of the decision
   * @param pairs alternating names and values: request or task, inputs, their age, outcome
   */
  public void log(final String event, final Object... pairs) {
    log(LineKind.of(event), event, pairs);
  }

  /**
   * Logs a decision.
   *
   * @param kind kind of the line
   * @param event name of the decision
   * @param pairs alternating names and values: request or task, inputs, their age, outcome
   */
  public void log(final LineKind kind, final String event, final Object... pairs) {
    if (!budgets.get(kind).admit(time.nanos())) {
      return;
    }
    final StringBuilder line = new StringBuilder(160);
    line.append("at=").append(time.wallMillis()).append(" event=").append(event);
    for (int i = 0; i + 1 < pairs.length; i += 2) {
      line.append(' ').append(pairs[i]).append('=');
      append(line, String.valueOf(pairs[i + 1]));
    }
    budgets.values().forEach(budget -> budget.appendDropped(line));
    queue.add(new Line(kind, line.toString()));
  }

  /**
   * Returns the number of lines dropped since the last line that was written.
   *
   * @return number of lines of all kinds
   */
  public long dropped() {
    return budgets.values().stream().mapToLong(LineBudget::dropped).sum();
  }

  @Override
  public void close() {
    writer.interrupt();
    try {
      writer.join(CLOSE_MILLIS);
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    Line line = queue.poll();
    while (line != null) {
      print(line);
      line = queue.poll();
    }
    out.flush();
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
        print(queue.take());
      }
    } catch (final InterruptedException stop) {
      Thread.currentThread().interrupt();
    }
  }

  private void print(final Line line) {
    budgets.get(line.kind()).taken();
    out.println(line.text());
  }
}
