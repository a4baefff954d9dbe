package org.lentilsail.model.job;

import java.util.List;
import java.util.Objects;

/**
 * Specification of a step of a job, which consists of identical tasks.
 *
 * @param count number of tasks
 * @param demand resources requested by each task
 * @param estimateMillis rough estimate of the duration of a task in ms, 0 if unknown
 * @param after numbers of the steps that must be done before this step starts
 * @param savesProgress whether tasks save checkpoints
 * @param gang whether the tasks can only run together
 * @param sameRack whether the tasks should run in the same rack, because they are slower across
 *     racks
 * @param requiredLabel label that a worker must have, empty for no requirement
 * @param dataRack rack that holds the data of the tasks, empty if there is none
 * @param maxPerWorker maximum number of tasks of the step on one worker, 0 for no limit
 * @param speculative whether a slow task may run in several copies (speculative execution)
 * @param longRunning whether tasks run until the job is cancelled
 * @param image image that the tasks run; tasks of the same image behave alike
 * @param targetMillis upper limit of the tail response time in ms of a task that serves requests, 0
 *     for none
 * @param fills whether the tasks are best-effort tasks, which use only CPU that other tasks leave
 *     unused
 * @param mayMiss availability budget: maximum number of tasks that may be unavailable because of
 *     commands, 0 for no limit
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

  /** Maximum number of tasks of a step, which limits the memory that a job can use. */
  public static final int MAX_COUNT = 100_000;

  /** Checks the number of tasks, and copies the list to make the specification immutable. */
  public StepSpec {
    if (count < 1 || count > MAX_COUNT) {
      throw new IllegalArgumentException("a step has 1 to " + MAX_COUNT + " tasks, not " + count);
    }
    Objects.requireNonNull(demand, "demand");
    after = List.copyOf(after);
  }

  /**
   * Returns the resources that a task reserves on its worker.
   *
   * @return the requested resources, without CPU for a best-effort task
   */
  public Resources reserved() {
    return fills ? new Resources(0, demand.memoryMb(), demand.gpus()) : demand;
  }
}
