package org.lentilsail.standin.process;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for conditions with a bound. */
public final class Await {
  /** Time in ms between two looks at a condition. */
  private static final int STEP_MILLIS = 20;

  private Await() {}

  /**
   * Waits until a condition holds.
   *
   * @param what the condition in words, for the message
   * @param limit longest wait
   * @param condition the condition; an exception counts as not yet
   * @return time in ms that it took
   * @throws InterruptedException when the waiting thread is interrupted
   */
  public static long until(
      final String what, final Duration limit, final Callable<Boolean> condition)
      throws InterruptedException {
    final long start = System.nanoTime();
    Exception last = null;
    while (System.nanoTime() - start < limit.toNanos()) {
      try {
        if (condition.call()) {
          return Duration.ofNanos(System.nanoTime() - start).toMillis();
        }
      } catch (final InterruptedException interrupted) {
        throw interrupted;
      } catch (final Exception error) {
        last = error;
      }
      Thread.sleep(STEP_MILLIS);
    }
    throw new IllegalStateException(
        what + " did not come true within " + limit.toMillis() + " ms", last);
  }
}
