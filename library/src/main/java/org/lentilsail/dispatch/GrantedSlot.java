package org.lentilsail.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;

/** A slot that a dispatcher has granted to this daemon. */
final class GrantedSlot implements Slot {
  private final SlotGrant grant;
  private final SlotRequirements requirements;
  private final String dispatcher;
  private final long grantedNanos;
  private final SlotRequester requester;
  private final AtomicBoolean released = new AtomicBoolean();

  GrantedSlot(
      final SlotGrant grant,
      final SlotRequirements requirements,
      final String dispatcher,
      final long grantedNanos,
      final SlotRequester requester) {
    this.grant = grant;
    this.requirements = requirements;
    this.dispatcher = dispatcher;
    this.grantedNanos = grantedNanos;
    this.requester = requester;
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
      requester.release(this, result, runMillis);
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
