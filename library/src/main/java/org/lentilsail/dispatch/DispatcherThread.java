package org.lentilsail.dispatch;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** The single thread to which the state of the dispatchers is confined. */
public final class DispatcherThread implements Executor, AutoCloseable {
  private static final long TICK_MILLIS = 10;

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
      Logger.debug("dispatch: dropped a task because the dispatcher thread has stopped");
    }
  }

  /**
   * Starts the periodic work of a service.
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
      Logger.error(e, "dispatch: a task failed");
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
