package org.lentilsail.dispatch;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** The one thread that owns the state of the dispatchers. */
public final class DispatcherThread implements Executor, AutoCloseable {
  /** Interval of the ticks in ms. */
  private static final long TICK_MILLIS = 10;

  /** Runs the tasks. */
  private final ScheduledThreadPoolExecutor executor =
      new ScheduledThreadPoolExecutor(
          1,
          task -> {
            final Thread thread = new Thread(task, "dispatcher");
            thread.setDaemon(true);
            return thread;
          });

  @Override
  public void execute(final Runnable task) {
    try {
      executor.execute(() -> runLogged(task));
    } catch (RejectedExecutionException e) {
      Logger.debug("dispatch: dropped a task because the dispatcher has stopped.");
    }
  }

  /**
   * Starts the regular work of a service.
   *
   * @param service the service
   */
  public void tick(final DispatchService service) {
    executor.scheduleAtFixedRate(
        () -> runLogged(service::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static void runLogged(final Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      Logger.error(e, "dispatch: a task failed.");
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
