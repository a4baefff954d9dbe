package org.lentilsail.measure.waiting;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Discrete-event simulation: runs events in order of time and advances the clock to each event. */
final class EventLoop {
  /** Scheduled events by time, then by order of scheduling. */
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));

  /** Current simulated time in ns. */
  private long now;

  /** Number of scheduled events so far. */
  private long scheduledCount;

  /**
   * Scheduled event.
   *
   * @param nanos time of the event
   * @param order sequence number of the scheduling
   * @param action code to run
   */
  private record Event(long nanos, long order, Runnable action) {}

  long now() {
    return now;
  }

  void at(final long nanos, final Runnable action) {
    events.add(new Event(Math.max(now, nanos), scheduledCount++, action));
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
