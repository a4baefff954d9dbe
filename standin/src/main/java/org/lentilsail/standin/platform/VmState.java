package org.lentilsail.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.lentilsail.platform.VmReport;

/** What the stand-in knows about one VM, with the past that the lagging list shows. */
final class VmState {
  /** State of a VM that runs. */
  static final String LIVE = "live";

  /** State of a VM that the platform takes away. */
  static final String LEAVING = "leaving";

  /** State of a VM that does not answer. */
  static final String GONE = "gone";

  /** Description of the VM. */
  private final VmSettings settings;

  /** What was known when, oldest first. */
  private final Deque<TimedReport> history = new ArrayDeque<>();

  /** Monotonic time of the last answer. */
  private long answeredNanos;

  /** Number of boots ordered or seen; operations must name it. */
  private long bootGeneration = 1;

  /** Number of boots that have come to an end, as reported. */
  private long completedBoots = 1;

  /** Boot number that the VM itself gave last, -1 before the first answer. */
  private long ownBoots = -1;

  /** Whether an ordered reboot has not yet been seen to end. */
  private boolean rebooting;

  VmState(final VmSettings settings, final long nowNanos) {
    this.settings = settings;
    this.answeredNanos = nowNanos;
    remember(LIVE, false, 0, nowNanos);
  }

  VmSettings settings() {
    return settings;
  }

  boolean hasBootGeneration(final long expected) {
    return bootGeneration == expected;
  }

  void beginReboot() {
    bootGeneration++;
    rebooting = true;
  }

  void abandonReboot() {
    bootGeneration--;
    rebooting = false;
  }

  void markLeaving(final long now) {
    final VmReport last = latest();
    remember(LEAVING, last.draining(), last.running(), now);
  }

  void recordStatus(final int running, final boolean draining, final long boots, final long now) {
    final boolean booted = ownBoots >= 0 && boots != ownBoots;
    final boolean wasGone = latest().state().equals(GONE);
    if ((booted || wasGone) && !rebooting) {
      bootGeneration++;
    }
    if (booted || wasGone) {
      rebooting = false;
      completedBoots = bootGeneration;
    }
    ownBoots = boots;
    answeredNanos = now;
    remember(wasGone ? LIVE : latest().state(), draining, running, now);
  }

  void recordNoResponse(final long now, final long goneMillis) {
    if (now - answeredNanos >= TimeUnit.MILLISECONDS.toNanos(goneMillis)) {
      remember(GONE, false, 0, now);
    }
  }

  VmReport reportAt(final long nanos) {
    while (history.size() > 1 && second().nanos() - nanos <= 0) {
      history.removeFirst();
    }
    return history.getFirst().report();
  }

  private TimedReport second() {
    final var all = history.iterator();
    all.next();
    return all.next();
  }

  private VmReport latest() {
    return history.getLast().report();
  }

  private void remember(
      final String state, final boolean draining, final int running, final long now) {
    final VmReport report =
        new VmReport(
            settings.vm(),
            settings.role(),
            settings.address(),
            settings.availabilityZone(),
            settings.rack(),
            settings.pool(),
            state,
            draining,
            running,
            completedBoots);
    if (history.isEmpty() || !latest().equals(report)) {
      history.addLast(new TimedReport(report, now));
    }
  }
}
