package org.lentilsail.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;

/** A slot that a dispatcher has granted to this daemon. */
final class GrantedSlot implements Slot {
  /** The grant. */
  private final SlotGrant grant;

  /** Demand that got the slot. */
  private final SlotRequirements requirements;

  /** Daemon that granted the slot. */
  private final String dispatcher;

  /** Monotonic time of the grant. */
  private final long grantedNanos;

  /** Gives the slot back. */
  private final SlotRequester asker;

  /** Whether the slot has been given back. */
  private final AtomicBoolean released = new AtomicBoolean();

  GrantedSlot(
      final SlotGrant grant,
      final SlotRequirements demand,
      final String dispatcher,
      final long grantedNanos,
      final SlotRequester asker) {
    this.grant = grant;
    this.requirements = demand;
    this.dispatcher = dispatcher;
    this.grantedNanos = grantedNanos;
    this.asker = asker;
  }

  @Override
  public String vm() {
    return grant.vm();
  }

  @Override
  public String address() {
    return grant.address();
  }

  @Override
  public void release(final SlotResult result, final long runMillis) {
    if (released.compareAndSet(false, true)) {
      asker.release(this, result, runMillis);
    }
  }

  SlotGrant grant() {
    return grant;
  }

  SlotRequirements requirements() {
    return requirements;
  }

  String dispatcher() {
    return dispatcher;
  }

  long grantedNanos() {
    return grantedNanos;
  }
}
