package org.lentilsail.worker;

import java.util.concurrent.CompletableFuture;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;

/** Sends commands to workers. Thread-safe; the returned futures never fail. */
public interface WorkerClient {
  /**
   * Starts a run.
   *
   * @param worker the worker
   * @param command the command
   * @return the reply of the worker
   */
  CompletableFuture<CommandReply> start(WorkerEntry worker, StartCommand command);

  /**
   * Stops a run, or prevents it from beginning if it has not begun yet.
   *
   * @param worker the worker
   * @param task the task
   * @param run number of the run
   * @param token fencing token of the leader
   * @return the reply of the worker
   */
  CompletableFuture<CommandReply> stop(WorkerEntry worker, TaskId task, int run, long token);

  /**
   * Changes the CPU limit of a run.
   *
   * @param worker the worker
   * @param task the task
   * @param run number of the run
   * @param percent percentage of its CPU that the run may use
   * @param token fencing token of the leader
   * @return the reply of the worker
   */
  CompletableFuture<CommandReply> setCpuLimit(
      WorkerEntry worker, TaskId task, int run, int percent, long token);

  /**
   * Polls a worker.
   *
   * @param worker the worker
   * @param request the lease to renew and the finished runs to acknowledge
   * @return the reply with its status report
   */
  CompletableFuture<PollReply> poll(WorkerEntry worker, PollRequest request);
}
