package org.lentilsail.measure.fleet;

import org.lentilsail.policy.control.OperateAction;
import org.lentilsail.policy.fleet.VmObservation;
import org.lentilsail.policy.fleet.VmState;

/** A VM of the model as it really is. */
final class ModelVm {
  /** Time in ms of a reboot. */
  static final long REBOOT_MILLIS = 30_000;

  /** Name of the VM. */
  final String name;

  /** Pool in which the VM started. */
  final String pool;

  /** Availability zone of the VM. */
  final String zone;

  /** Rack of the VM. */
  final String rack;

  /** Time in ms that the work on the VM takes to end once the VM drains. */
  final long workMillis;

  /** Whether the platform drains the VM. */
  boolean draining;

  /** Time at which the work ends. */
  long workEndsAt;

  /** Time at which a reboot ends. */
  long upAt;

  /** Time up to which the VM fails. */
  long failsUntil;

  /** Number of boots. */
  long generation = 1;

  /** Responses since the VM began to verify. */
  int responses;

  /** Reboots that cut off work. */
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
          // The model has no checkpoints.
        }
      }
    }
  }
}
