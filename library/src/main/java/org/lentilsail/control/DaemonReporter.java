package org.lentilsail.control;

import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.fleet.DaemonReport;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.peer.PeerNetwork;
import org.tinylog.Logger;

/** Sends this daemon's report to the holder of control, and at once when a drain progresses. */
public final class DaemonReporter implements AutoCloseable {
  /** Time in ms between two reports without progress. */
  private static final long REPORT_MILLIS = 1_000;

  /** Time in ms between two looks for progress of drains. */
  private static final long TICK_MILLIS = 100;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The other daemons. */
  private final PeerNetwork network;

  /** Names the holder of control. */
  private final ConfigurationView configuration;

  /** Gives the present report. */
  private final Supplier<DaemonReport> source;

  /** Control in this daemon, for when this daemon is the holder. */
  private final ControlLoop control;

  /** Clock of the reports. */
  private final TimeSource time;

  /** Monotonic time of the last report. */
  private long sentNanos;

  /** The last report, null before the first. */
  private DaemonReport sent;

  /** The ticks, null before the start. */
  private ScheduledFuture<?> ticks;

  /**
   * Creates a reporter.
   *
   * @param network the other daemons
   * @param configuration names the holder of control
   * @param source gives the present report
   * @param control control in this daemon
   * @param time clock of the reports
   */
  public DaemonReporter(
      final PeerNetwork network,
      final ConfigurationView configuration,
      final Supplier<DaemonReport> source,
      final ControlLoop control,
      final TimeSource time) {
    this.network = network;
    this.configuration = configuration;
    this.source = source;
    this.control = control;
    this.time = time;
  }

  /**
   * Begins to report.
   *
   * @param executor the control thread
   */
  public void start(final ScheduledExecutorService executor) {
    ticks = executor.scheduleWithFixedDelay(this::safeTick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void safeTick() {
    try {
      tick();
    } catch (final RuntimeException error) {
      Logger.error(error, "control: the report of this daemon failed");
    }
  }

  /** Sends a report when one is due or a drain has progressed. */
  void tick() {
    final DaemonReport report = source.get();
    final String holder = configuration.current().fleet().holder();
    final boolean due = sent == null || time.nanos() - sentNanos >= REPORT_MILLIS * NANOS_PER_MILLI;
    if (!holder.isEmpty() && (due || progressed(sent, report))) {
      sent = report;
      sentNanos = time.nanos();
      if (holder.equals(network.self())) {
        control.receive(report);
      } else {
        network.send(holder, new ReportMessage(report));
      }
    }
  }

  private static boolean progressed(final DaemonReport last, final DaemonReport now) {
    final Map<String, Integer> before = last.inFlight();
    boolean result =
        last.fleetRevision() != now.fleetRevision()
            || !last.responses().equals(now.responses())
            || !last.unhealthyVms().equals(now.unhealthyVms());
    for (final Map.Entry<String, Integer> vm : before.entrySet()) {
      result = result || vm.getValue() > 0 && now.inFlight().getOrDefault(vm.getKey(), 0) == 0;
    }
    return result;
  }

  @Override
  public void close() {
    if (ticks != null) {
      ticks.cancel(false);
    }
  }
}
