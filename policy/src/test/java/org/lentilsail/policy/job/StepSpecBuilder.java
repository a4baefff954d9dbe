package org.lentilsail.policy.job;

import java.util.List;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;

/** Builds steps for tests. What is not set has no effect on the scheduling of the step. */
public final class StepSpecBuilder {
  private final int count;
  private Resources demand = new Resources(1_000, 1_000, 0);
  private long estimateMillis;
  private List<Integer> after = List.of();
  private boolean gang;
  private boolean speculative;
  private boolean longRunning;
  private int maxPerWorker;
  private int mayMiss;
  private String image = "";
  private long targetMillis;
  private boolean fills;

  private StepSpecBuilder(final int count) {
    this.count = count;
  }

  /**
   * Starts a step.
   *
   * @param count number of tasks, each of which requests one core and 1,000 MB
   * @return the builder
   */
  public static StepSpecBuilder tasks(final int count) {
    return new StepSpecBuilder(count);
  }

  /**
   * Sets the resources that each task requests.
   *
   * @param cpuMillis CPU in millicores
   * @param memoryMb memory in MB
   * @return this builder
   */
  public StepSpecBuilder demand(final int cpuMillis, final int memoryMb) {
    demand = new Resources(cpuMillis, memoryMb, 0);
    return this;
  }

  /**
   * Sets the estimated duration of a task.
   *
   * @param millis duration in ms
   * @return this builder
   */
  public StepSpecBuilder estimateMillis(final long millis) {
    estimateMillis = millis;
    return this;
  }

  /**
   * Sets the dependencies.
   *
   * @param steps numbers of the steps that must be done before
   * @return this builder
   */
  public StepSpecBuilder after(final List<Integer> steps) {
    after = steps;
    return this;
  }

  /**
   * Makes the step a gang.
   *
   * @return this builder
   */
  public StepSpecBuilder gang() {
    gang = true;
    return this;
  }

  /**
   * Allows copies of slow tasks.
   *
   * @return this builder
   */
  public StepSpecBuilder speculative() {
    speculative = true;
    return this;
  }

  /**
   * Lets the tasks run until the job is cancelled.
   *
   * @param budget maximum number of tasks that may be unavailable because of commands
   * @return this builder
   */
  public StepSpecBuilder longRunning(final int budget) {
    longRunning = true;
    mayMiss = budget;
    return this;
  }

  /**
   * Limits the tasks on one worker.
   *
   * @param limit maximum number of tasks, 0 for no limit
   * @return this builder
   */
  public StepSpecBuilder maxPerWorker(final int limit) {
    maxPerWorker = limit;
    return this;
  }

  /**
   * Sets the image.
   *
   * @param name name of the image
   * @return this builder
   */
  public StepSpecBuilder image(final String name) {
    image = name;
    return this;
  }

  /**
   * Sets the target for the tail response time.
   *
   * @param millis upper limit in ms
   * @return this builder
   */
  public StepSpecBuilder targetMillis(final long millis) {
    targetMillis = millis;
    return this;
  }

  /**
   * Makes the tasks best-effort tasks.
   *
   * @return this builder
   */
  public StepSpecBuilder fills() {
    fills = true;
    return this;
  }

  /**
   * Builds the step.
   *
   * @return the step
   */
  public StepSpec build() {
    return new StepSpec(
        count,
        demand,
        estimateMillis,
        after,
        false,
        gang,
        false,
        "",
        "",
        maxPerWorker,
        speculative,
        longRunning,
        image,
        targetMillis,
        fills,
        mayMiss);
  }
}
