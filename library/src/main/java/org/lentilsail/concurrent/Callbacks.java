package org.lentilsail.concurrent;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Wraps callbacks and tasks so that an unexpected error is logged and does not end the work that
 * follows. A future would otherwise hide the error, and an executor would cancel a periodic task.
 */
public final class Callbacks {
  private Callbacks() {}

  /**
   * Wraps a callback of a future.
   *
   * @param callback the callback
   * @param <T> type of the future's value
   * @return a callback that never throws an exception
   */
  public static <T> BiConsumer<T, Throwable> logged(final BiConsumer<T, Throwable> callback) {
    return (value, failure) -> run("callback", () -> callback.accept(value, failure));
  }

  /**
   * Wraps a task of an executor.
   *
   * @param name name of the task for the log
   * @param task the task
   * @return a task that never throws an exception
   */
  public static Runnable loggedTask(final String name, final Runnable task) {
    return () -> run(name, task);
  }

  /**
   * Passes elements to a consumer. An element whose processing fails is logged and skipped.
   *
   * @param name name of the processing for the log
   * @param elements the elements
   * @param consumer processes one element
   * @param <T> type of the elements
   */
  public static <T> void forEach(
      final String name, final Iterable<? extends T> elements, final Consumer<T> consumer) {
    for (final T element : elements) {
      run(name, () -> consumer.accept(element));
    }
  }

  /**
   * Runs a task. A stack overflow is treated like an exception, since the stack is intact again;
   * other errors of the runtime are logged and thrown, because a future would hide them.
   */
  private static void run(final String name, final Runnable task) {
    try {
      task.run();
    } catch (final RuntimeException | StackOverflowError error) {
      Logger.error(error, "event=task-failed task={}", name);
    } catch (final Error error) {
      Logger.error(error, "event=task-failed task={}", name);
      throw error;
    }
  }
}
