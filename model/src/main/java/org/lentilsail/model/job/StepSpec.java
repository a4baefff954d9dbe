package org.lentilsail.model.job;

import java.util.List;

/**
 * Describes the equal tasks of one step of a job.
 *
 * @param count number of tasks
 * @param demand resources of each task
 * @param estimateMillis rough estimate of the duration of a task in ms, 0 when unknown
 * @param after numbers of the steps that must be done first
 * @param savesProgress whether tasks make checkpoints
 * @param gang whether the tasks only work together
 * @param sameRack whether the tasks are slower when they run in several racks
 * @param requiredLabel label that a worker must have, empty for none
 * @param dataRack rack that holds the data, empty for none
 * @param maxPerWorker most tasks of the step on one worker, 0 for no limit
 * @param speculative whether copies of a task may run in parallel
 * @param longRunning whether tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike
 * @param targetMillis upper limit of the tail response time of a serving task in ms, 0 for none
 * @param fills whether the tasks use only the processor that others leave
 * @param mayMiss most tasks that may be away because of orders, 0 when not limited
 */
public record StepSpec(
    int count,
    Resources demand,
    long estimateMillis,
    List<Integer> after,
    boolean savesProgress,
    boolean gang,
    boolean sameRack,
    String requiredLabel,
    String dataRack,
    int maxPerWorker,
    boolean speculative,
    boolean longRunning,
    String image,
    long targetMillis,
    boolean fills,
    int mayMiss) {

  /** Copies the list, so that the step cannot change. */
  public StepSpec {
    after = List.copyOf(after);
  }

  /**
   * Returns what a task takes of the capacity of its worker.
   *
   * @return the demand, without processor for a task that fills
   */
  public Resources reserved() {
    return fills ? new Resources(0, demand.memoryMb(), demand.gpus()) : demand;
  }
}
