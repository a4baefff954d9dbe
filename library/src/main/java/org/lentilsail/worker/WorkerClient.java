package org.lentilsail.worker;

import java.util.concurrent.CompletableFuture;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;

/** Gives orders to workers. Thread-safe; futures never fail. */
public interface WorkerClient {
  /**
   * Starts a run.
   *
   * @param worker the worker
   * @param order what to start
   * @return what became of it
   */
  CompletableFuture<CommandReply> start(WorkerEntry worker, StartCommand order);

  /**
   * Stops a run, or keeps it from beginning when it has not begun.
   *
   * @param worker the worker
   * @param task the task
   * @param run number of the run
   * @param token fencing token of the holder
   * @return what became of it
   */
  CompletableFuture<CommandReply> stop(WorkerEntry worker, TaskId task, int run, long token);

  /**
   * Changes the pace of a run.
   *
   * @param worker the worker
   * @param task the task
   * @param run number of the run
   * @param percent share of its processor that the run may use
   * @param token fencing token of the holder
   * @return what became of it
   */
  CompletableFuture<CommandReply> setCpuLimit(
      WorkerEntry worker, TaskId task, int run, int percent, long token);

  /**
   * Looks at a worker.
   *
   * @param worker the worker
   * @param order what to renew and to acknowledge
   * @return its lists
   */
  CompletableFuture<PollReply> poll(WorkerEntry worker, PollRequest order);
}
