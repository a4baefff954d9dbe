package org.lentilsail.measure.fleet;

import org.lentilsail.policy.control.OperateAction;
import org.lentilsail.policy.fleet.VmObservation;
import org.lentilsail.policy.fleet.VmState;

/** Actual state of a simulated VM, as opposed to the state in the fleet document. */
final class ModelVm {
  /** Duration of a reboot in ms. */
  static final long REBOOT_MILLIS = 30_000;

  final String name;

  /** Initial pool of the VM. */
  final String pool;

  final String zone;

  final String rack;

  /** Time in ms from the start of a drain until the running work ends. */
  final long workMillis;

  /** Whether the platform has set the VM to drain. */
  boolean draining;

  /** Time in ms at which the running work ends while the VM drains. */
  long workEndsAt;

  /** Time in ms at which the latest reboot ends. */
  long upAt;

  /** Time in ms until which the VM fails. */
  long failsUntil;

  /** Boot generation. */
  long generation = 1;

  /** Number of responses since the start of the verification. */
  int responses;

  /** Number of reboots that interrupted running work. */
  int rebootsDuringWork;

  ModelVm(
      final String name,
      final String pool,
      final String zone,
      final String rack,
      final long workMillis) {
    this.name = name;
    this.pool = pool;
    this.zone = zone;
    this.rack = rack;
    this.workMillis = workMillis;
  }

  int running(final long now) {
    return draining && now >= workEndsAt ? 0 : 1;
  }

  VmObservation observe(final long now) {
    return new VmObservation(
        name,
        name + ":80",
        zone,
        rack,
        pool,
        VmState.LIVE,
        draining,
        running(now),
        now < upAt ? generation - 1 : generation);
  }

  void operate(final OperateAction action, final long now) {
    if (action.bootGeneration() == generation) {
      switch (action.operation()) {
        case DRAIN -> {
          workEndsAt = draining ? workEndsAt : now + workMillis;
          draining = true;
        }
        case UNDRAIN -> draining = false;
        case REBOOT -> {
          rebootsDuringWork += running(now);
          generation++;
          draining = false;
          upAt = now + REBOOT_MILLIS;
        }
        default -> {
          // Checkpoints are not simulated.
        }
      }
    }
  }
}
