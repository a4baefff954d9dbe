package org.lentilsail;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Waits for conditions of tests with real sockets. */
public final class Await {
  /** Far above what any condition takes, so that a busy machine changes no verdict. */
  private static final Duration BOUND = Duration.ofSeconds(60);

  private Await() {}

  /** Waits until a condition holds, and fails when it does not. */
  public static void until(final String what, final BooleanSupplier condition) throws Exception {
    final long end = System.nanoTime() + BOUND.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("not within " + BOUND.toSeconds() + " s: " + what);
      }
      Thread.sleep(2);
    }
  }
}
