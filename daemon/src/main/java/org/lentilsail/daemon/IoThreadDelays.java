package org.lentilsail.daemon;

import java.util.concurrent.TimeUnit;
import org.lentilsail.entry.DelayScheduler;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

/** Schedules delayed tasks on the I/O threads. */
final class IoThreadDelays implements DelayScheduler {
  private final XnioWorker worker;

  IoThreadDelays(final XnioWorker worker) {
    this.worker = worker;
  }

  @Override
  public Runnable schedule(final long millis, final Runnable task) {
    final XnioExecutor.Key key =
        worker.getIoThread().executeAfter(task, millis, TimeUnit.MILLISECONDS);
    return key::remove;
  }
}
