package org.lentilsail.measure.waiting;

import java.util.function.Consumer;
import org.lentilsail.policy.dispatch.WorkerResult;

/** One try of a job on a worker. */
final class Attempt {
  /** The job. */
  final Job job;

  /** The worker. */
  final int worker;

  /** Hears the end at the entry daemon. */
  final Consumer<WorkerResult> resultListener;

  /** Time of the start on the worker in ns, 0 before it. */
  long startedNanos;

  /** Whether the attempt has ended at the worker. */
  boolean finished;

  Attempt(final Job job, final int worker, final Consumer<WorkerResult> end) {
    this.job = job;
    this.worker = worker;
    this.resultListener = end;
  }
}
