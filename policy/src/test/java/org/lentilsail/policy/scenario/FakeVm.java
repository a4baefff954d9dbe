package org.lentilsail.policy.scenario;

import org.lentilsail.policy.control.OperateAction;
import org.lentilsail.policy.fleet.VmObservation;
import org.lentilsail.policy.fleet.VmState;

/** The actual state of a VM, which the platform's list shows with a delay. */
final class FakeVm {
  /** Duration of a reboot in ms. */
  private static final long REBOOT_MILLIS = 3_000;

  final String name;
  final String zone;
  final String rack;
  final String pool;
  VmState state = VmState.LIVE;
  boolean draining;
  boolean answers = true;

  /** Whether the VM comes back from a reboot. */
  boolean returns = true;

  /** Whether a checkpoint ends the running work. */
  boolean checkpoints;

  long workUntil;
  long bootingUntil;
  long generation = 1;
  int responses;
  int reboots;

  FakeVm(final String name, final String pool, final String zone, final String rack) {
    this.name = name;
    this.pool = pool;
    this.zone = zone;
    this.rack = rack;
  }

  boolean up(final long now) {
    return state != VmState.GONE && now >= bootingUntil;
  }

  int running(final long now) {
    return now < workUntil ? 1 : 0;
  }

  VmObservation observe(final long now) {
    final long seen = now < bootingUntil ? generation - 1 : generation;
    return new VmObservation(
        name, name + ":80", zone, rack, pool, state, draining, running(now), seen);
  }

  /** Executes an operation like the platform; fails when a reboot interrupts running work. */
  void operate(final OperateAction action, final long now) {
    if (action.bootGeneration() == generation && state != VmState.GONE) {
      switch (action.operation()) {
        case DRAIN -> draining = true;
        case UNDRAIN -> draining = false;
        case CHECKPOINT -> workUntil = checkpoints ? now : workUntil;
        default -> {
          if (running(now) > 0) {
            throw new AssertionError("reboot of " + name + " interrupts running work");
          }
          reboots++;
          generation++;
          draining = false;
          bootingUntil = returns ? now + REBOOT_MILLIS : Long.MAX_VALUE;
        }
      }
    }
  }
}
