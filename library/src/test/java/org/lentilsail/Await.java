package org.lentilsail;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Waits for conditions in tests that use real sockets. */
public final class Await {
  /** Much longer than any condition takes, so that tests do not fail on a busy machine. */
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private Await() {}

  /** Waits until a condition holds, and fails when it does not. */
  public static void until(final String description, final BooleanSupplier condition)
      throws Exception {
    final long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("not within " + TIMEOUT.toSeconds() + " s: " + description);
      }
      Thread.sleep(2);
    }
  }
}
