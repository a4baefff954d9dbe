package org.lentilsail.acceptance;

import java.time.Duration;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Waits between attempts; tests advance a manual clock instead. */
public interface Sleeper {
  /**
   * Waits.
   *
   * @param duration time to wait
   */
  void sleep(Duration duration);

  /** Returns a sleeper that blocks the calling thread. */
  static Sleeper blocking() {
    return duration -> {
      try {
        Thread.sleep(duration.toMillis());
      } catch (final InterruptedException error) {
        Thread.currentThread().interrupt();
        throw new LentilsailException(
            ErrorCode.STOPPING, "the daemon is stopping", "ask another daemon", error);
      }
    };
  }
}
