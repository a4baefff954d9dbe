package org.lentilsail.daemon;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.lentilsail.dispatch.DispatcherThread;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The threads of a daemon: the control thread, the dispatch thread and the I/O threads. */
final class DaemonThreads implements AutoCloseable {
  /**
   * The control thread, to which configuration distribution, control rounds, key terms and drain
   * notices are confined.
   */
  private final ScheduledThreadPoolExecutor control;

  /** The dispatch thread, to which the state of the dispatchers is confined. */
  private final DispatcherThread dispatch = new DispatcherThread();

  /** I/O threads of the HTTP server and the HTTP client. */
  private final XnioWorker traffic;

  DaemonThreads(final int ioThreads) throws IOException {
    control =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              final Thread thread = new Thread(task, "control");
              thread.setDaemon(true);
              return thread;
            });
    control.setRemoveOnCancelPolicy(true);
    control.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    traffic =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, "traffic")
                    .set(Options.WORKER_IO_THREADS, ioThreads)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 2)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
  }

  ScheduledExecutorService control() {
    return control;
  }

  DispatcherThread dispatch() {
    return dispatch;
  }

  XnioWorker traffic() {
    return traffic;
  }

  @Override
  public void close() {
    dispatch.close();
    control.shutdownNow();
    traffic.shutdownNow();
  }
}
