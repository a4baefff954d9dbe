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

/** Sends this daemon's report to the leader periodically, and at once when a drain progresses. */
public final class DaemonReporter implements AutoCloseable {
  /** Interval in ms of the reports without progress of a drain. */
  private static final long REPORT_MILLIS = 1_000;

  /** Interval in ms at which the progress of drains is checked. */
  private static final long TICK_MILLIS = 100;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PeerNetwork network;
  private final ConfigurationView configuration;
  private final Supplier<DaemonReport> source;

  /** Receives the reports when this daemon is the leader. */
  private final ControlLoop control;

  private final TimeSource time;
  private long sentNanos;

  /** The last report, null before the first. */
  private DaemonReport sent;

  /** The periodic tick, null before the start. */
  private ScheduledFuture<?> ticks;

  /**
   * Creates a reporter.
   *
   * @param network sends the reports to another daemon
   * @param configuration names the leader
   * @param source supplies the current report
   * @param control receives the reports when this daemon is the leader
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
   * Starts the reports.
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
      Logger.error(error, "control: sending the report of this daemon failed");
    }
  }

  /** Sends a report when one is due or a drain has progressed. */
  void tick() {
    final DaemonReport report = source.get();
    final String leader = configuration.current().fleet().holder();
    final boolean due = sent == null || time.nanos() - sentNanos >= REPORT_MILLIS * NANOS_PER_MILLI;
    if (!leader.isEmpty() && (due || progressed(sent, report))) {
      sent = report;
      sentNanos = time.nanos();
      if (leader.equals(network.self())) {
        control.receive(report);
      } else {
        network.send(leader, new ReportMessage(report));
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
