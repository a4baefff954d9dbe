package org.lentilsail.log;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Bounds the lines of one kind by rate and by number of waiting lines. Thread-safe. */
final class LineBudget {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final LineKind kind;
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();
  private long windowStart;
  private int windowLines;

  LineBudget(final LineKind kind, final long now) {
    this.kind = kind;
    this.windowStart = now;
  }

  /** Admits a line, which waits from then on, or counts it as dropped. */
  boolean admit(final long now) {
    if (isWithinRate(now) && takeRoom()) {
      return true;
    }
    dropped.incrementAndGet();
    return false;
  }

  /** Records that a waiting line was taken by the writer. */
  void taken() {
    waiting.decrementAndGet();
  }

  long dropped() {
    return dropped.get();
  }

  /** Appends the number of lines dropped since the last call, if there are any. */
  void appendDropped(final StringBuilder line) {
    final long lines = dropped.getAndSet(0);
    if (lines > 0) {
      line.append(' ').append(kind.droppedName()).append('=').append(lines);
    }
  }

  private synchronized boolean isWithinRate(final long now) {
    if (now - windowStart >= NANOS_PER_SECOND) {
      windowStart = now;
      windowLines = 0;
    }
    windowLines++;
    return windowLines <= kind.linesPerSecond();
  }

  private boolean takeRoom() {
    if (waiting.incrementAndGet() <= kind.maxWaiting()) {
      return true;
    }
    waiting.decrementAndGet();
    return false;
  }
}
