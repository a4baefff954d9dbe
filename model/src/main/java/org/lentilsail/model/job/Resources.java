package org.lentilsail.model.job;

/**
 * Holds an amount of each resource of a worker.
 *
 * @param cpuMillis processor in thousandths of a core
 * @param memoryMb memory in MB
 * @param gpus accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long gpus) {
  /** Nothing of any resource. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Adds another amount.
   *
   * @param other what is added
   * @return the sum
   */
  public Resources plus(final Resources other) {
    return new Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
  }

  /**
   * Subtracts another amount; the result may be negative.
   *
   * @param other what is subtracted
   * @return the difference
   */
  public Resources minus(final Resources other) {
    return new Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
  }

  /**
   * Tells whether this amount fits into another one.
   *
   * @param room what is free
   * @return whether no resource is short
   */
  public boolean fitsIn(final Resources room) {
    return cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb && gpus <= room.gpus;
  }
}
