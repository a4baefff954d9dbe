package org.lentilsail.measure.waiting;

import java.util.function.Consumer;
import org.lentilsail.policy.dispatch.WorkerResult;

/** One attempt to run a job on a worker. */
final class Attempt {
  final Job job;

  final int worker;

  /** Is notified of the result at the entry daemon. */
  final Consumer<WorkerResult> resultListener;

  /** Start time on the worker in ns, 0 before the start. */
  long startedNanos;

  /** Whether the attempt has finished on the worker. */
  boolean finished;

  Attempt(final Job job, final int worker, final Consumer<WorkerResult> resultListener) {
    this.job = job;
    this.worker = worker;
    this.resultListener = resultListener;
  }
}
