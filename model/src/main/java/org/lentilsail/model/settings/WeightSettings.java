package org.lentilsail.model.settings;

/**
 * Weights of the four metrics in the policy; only their ratios matter.
 *
 * @param bufferCost weight of capacity that is kept idle in reserve
 * @param rollOutTime weight of the time that a configuration or wave takes
 * @param moves weight of VMs that change pools
 * @param waitingTime weight of the time that short work waits
 */
public record WeightSettings(
    double bufferCost, double rollOutTime, double moves, double waitingTime) {}
