package org.lentilsail.standin.process;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for a condition with a timeout. */
public final class Await {
  /** Time in ms between two checks of a condition. */
  private static final int POLL_INTERVAL_MILLIS = 20;

  private Await() {}

  /**
   * Waits until a condition holds.
   *
   * @param what the condition in words, for the error message
   * @param limit longest time to wait
   * @param condition the condition; an exception counts as not yet true
   * @return time in ms until the condition was true
   * @throws InterruptedException when the waiting thread is interrupted
   */
  public static long until(
      final String what, final Duration limit, final Callable<Boolean> condition)
      throws InterruptedException {
    final long start = System.nanoTime();
    Exception lastError = null;
    while (System.nanoTime() - start < limit.toNanos()) {
      try {
        if (condition.call()) {
          return Duration.ofNanos(System.nanoTime() - start).toMillis();
        }
      } catch (final InterruptedException interrupted) {
        throw interrupted;
      } catch (final Exception error) {
        lastError = error;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    throw new IllegalStateException(
        what + " did not become true within " + limit.toMillis() + " ms", lastError);
  }
}
