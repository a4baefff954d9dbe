package org.lentilsail.policy.capacity;

/**
 * Weights of the metrics in the policy; only their ratios matter.
 *
 * @param bufferCost weight of capacity held idle in reserve
 * @param rollOutTime weight of the time that waves take
 * @param moves weight of VMs that change pools
 * @param waitingTime weight of the time that work waits
 */
public record PolicyWeights(
    double bufferCost, double rollOutTime, double moves, double waitingTime) {

  /** Rejects weights that are not above 0. */
  public PolicyWeights {
    if (!(bufferCost > 0 && rollOutTime > 0 && moves > 0 && waitingTime > 0)) {
      throw new IllegalArgumentException("every weight must be above 0");
    }
  }

  /**
   * Returns equal weights.
   *
   * @return weights of 1
   */
  public static PolicyWeights equal() {
    return new PolicyWeights(1, 1, 1, 1);
  }
}
