package org.lentilsail.policy.job;

import org.lentilsail.model.job.TaskId;

/** Is told what the leader believes of runs whose end it has not read. */
public interface DropListener {
  /** Ignores everything. */
  DropListener NONE =
      new DropListener() {
        @Override
        public void runDropped(final TaskRun run, final DropEvidence evidence, final long now) {}

        @Override
        public void taskReleased(
            final TaskId task, final String worker, final DropEvidence evidence, final long now) {}

        @Override
        public void endOfRepeatedTask(
            final WorkerState worker, final FinishedRun end, final Task task) {}
      };

  /**
   * Called after a run was dropped without its end.
   *
   * @param run the run
   * @param evidence what shows that it has ended
   * @param now monotonic time in ns
   */
  void runDropped(TaskRun run, DropEvidence evidence, long now);

  /**
   * Called after a worker no longer blocks a task. The task may be done, running or unknown.
   *
   * @param task id of the task
   * @param worker id of the worker that may have been assigned it
   * @param evidence what shows that the worker does not run it
   * @param now monotonic time in ns
   */
  void taskReleased(TaskId task, String worker, DropEvidence evidence, long now);

  /**
   * Called when a run is done whose task has another run, or was started again after it.
   *
   * @param worker the worker that has reported the end
   * @param end the end
   * @param task the task, with its other runs
   */
  void endOfRepeatedTask(WorkerState worker, FinishedRun end, Task task);
}
