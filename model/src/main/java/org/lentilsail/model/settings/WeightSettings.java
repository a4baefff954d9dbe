package org.lentilsail.model.settings;

/**
 * Weighs the four measures of the policy against each other; only their ratios matter.
 *
 * @param bufferCost weight of capacity that is held idle
 * @param rollOutTime weight of the time that a configuration or wave takes
 * @param moves weight of VMs that change pools
 * @param waitingTime weight of the time that short work waits
 */
public record WeightSettings(
    double bufferCost, double rollOutTime, double moves, double waitingTime) {}
