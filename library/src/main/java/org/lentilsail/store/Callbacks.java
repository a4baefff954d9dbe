package org.lentilsail.store;

import java.util.function.BiConsumer;
import org.tinylog.Logger;

/** Wraps callbacks of futures, whose exceptions would otherwise be lost. */
public final class Callbacks {
  private Callbacks() {}

  /**
   * Wraps a callback so that the exceptions it throws are logged.
   *
   * @param callback the callback
   * @param <T> type of the future's value
   * @return a callback that never throws
   */
  public static <T> BiConsumer<T, Throwable> logged(final BiConsumer<T, Throwable> callback) {
    return (value, failure) -> {
      try {
        callback.accept(value, failure);
      } catch (final RuntimeException error) {
        Logger.error(error, "event=callback-failed");
      }
    };
  }
}
