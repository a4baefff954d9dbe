package org.lentilsail.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.lentilsail.platform.VmReport;

/** State of one VM, with the history from which the delayed list is served. */
final class VmState {
  /** State of a running VM. */
  static final String LIVE = "live";

  /** State of a VM that the platform is about to remove. */
  static final String LEAVING = "leaving";

  /** State of a VM that does not respond. */
  static final String GONE = "gone";

  private final VmSettings settings;

  /** Reports with the times from which they hold, oldest first. */
  private final Deque<TimedReport> history = new ArrayDeque<>();

  /** Monotonic time in ns of the last response. */
  private long lastResponseNanos;

  /** Number of boots requested or observed; operations must name it. */
  private long bootGeneration = 1;

  /** Number of completed boots, as shown in reports. */
  private long completedBoots = 1;

  /** Boot number last reported by the VM itself, -1 before the first response. */
  private long reportedBoots = -1;

  /** Whether a requested reboot has not yet been observed to complete. */
  private boolean rebooting;

  VmState(final VmSettings settings, final long nowNanos) {
    this.settings = settings;
    this.lastResponseNanos = nowNanos;
    recordReport(LIVE, false, 0, nowNanos);
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
    recordReport(LEAVING, last.draining(), last.running(), now);
  }

  void recordStatus(final int running, final boolean draining, final long boots, final long now) {
    final boolean booted = reportedBoots >= 0 && boots != reportedBoots;
    final boolean wasGone = latest().state().equals(GONE);
    if ((booted || wasGone) && !rebooting) {
      bootGeneration++;
    }
    if (booted || wasGone) {
      rebooting = false;
      completedBoots = bootGeneration;
    }
    reportedBoots = boots;
    lastResponseNanos = now;
    recordReport(wasGone ? LIVE : latest().state(), draining, running, now);
  }

  void recordNoResponse(final long now, final long goneMillis) {
    if (now - lastResponseNanos >= TimeUnit.MILLISECONDS.toNanos(goneMillis)) {
      recordReport(GONE, false, 0, now);
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

  private void recordReport(
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
