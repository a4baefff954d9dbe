package org.lentilsail.measure.waiting;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in order of time on a clock that only they advance. */
final class EventLoop {
  /** Events by time, then by order of planning. */
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));

  /** Present time in ns. */
  private long now;

  /** Number of events planned so far. */
  private long planned;

  /**
   * A planned event.
   *
   * @param nanos time of the event
   * @param order order of planning
   * @param action what happens
   */
  private record Event(long nanos, long order, Runnable action) {}

  long now() {
    return now;
  }

  void at(final long nanos, final Runnable action) {
    events.add(new Event(Math.max(now, nanos), planned++, action));
  }

  void after(final long delayNanos, final Runnable action) {
    at(now + delayNanos, action);
  }

  void run() {
    while (!events.isEmpty()) {
      final Event event = events.poll();
      now = event.nanos();
      event.action().run();
    }
  }
}
