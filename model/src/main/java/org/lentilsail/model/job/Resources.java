package org.lentilsail.model.job;

/**
 * An amount of each resource of a worker.
 *
 * @param cpuMillis CPU in millicores
 * @param memoryMb memory in MB
 * @param gpus number of accelerators (GPUs)
 */
public record Resources(long cpuMillis, long memoryMb, long gpus) {
  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Adds another amount.
   *
   * @param other the amount to add
   * @return the sum
   */
  public Resources plus(final Resources other) {
    return new Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
  }

  /**
   * Subtracts another amount; the result may be negative.
   *
   * @param other the amount to subtract
   * @return the difference
   */
  public Resources minus(final Resources other) {
    return new Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
  }

  /**
   * Returns whether this amount fits into another one.
   *
   * @param free the free resources
   * @return whether every resource is sufficient
   */
  public boolean fitsIn(final Resources free) {
    return cpuMillis <= free.cpuMillis && memoryMb <= free.memoryMb && gpus <= free.gpus;
  }
}
