package org.lentilsail.daemon;

import java.time.Duration;
import java.util.function.Supplier;
import org.lentilsail.control.ControlLoop;
import org.lentilsail.control.DaemonReporter;
import org.lentilsail.control.HttpVmProbe;
import org.lentilsail.model.fleet.DaemonReport;
import org.lentilsail.model.settings.EntrySettings;
import org.lentilsail.model.settings.WeightSettings;
import org.lentilsail.platform.LeaseListener;
import org.lentilsail.platform.LeaseManager;
import org.lentilsail.policy.capacity.PolicyWeights;
import org.tinylog.Logger;

/** Control in this daemon, which is active only while it holds the lease, and its reports. */
final class ControlComponents {
  /** Renewals of the lease within its time to live. */
  private static final int RENEWALS_PER_LEASE = 5;

  /** The parts on which this one rests. */
  private final SharedComponents shared;

  /** Keeps the control lease. */
  private final LeaseManager lease;

  /** Runs the control rounds. */
  private final ControlLoop loop;

  /** Reports to the control holder. */
  private final DaemonReporter reporter;

  /**
   * Creates the parts; call it before the network starts.
   *
   * @param shared the parts on which this one rests
   * @param report gives the present report of this daemon
   */
  ControlComponents(final SharedComponents shared, final Supplier<DaemonReport> report) {
    this.shared = shared;
    final EntrySettings settings = shared.settings();
    final Duration timeToLive = Duration.ofMillis(settings.controlLeaseMillis());
    lease =
        new LeaseManager(
            shared.platform(),
            shared.time(),
            shared.threads().control(),
            timeToLive,
            timeToLive.dividedBy(RENEWALS_PER_LEASE),
            new LoggingLeaseListener());
    final WeightSettings weights = settings.weights();
    loop =
        new ControlLoop(
            shared.network(),
            settings.region(),
            shared.platform(),
            new StoredFleetFormat(),
            lease::lease,
            shared.configuration(),
            new PolicyWeights(
                weights.bufferCost(),
                weights.rollOutTime(),
                weights.moves(),
                weights.waitingTime()),
            new HttpVmProbe(shared.httpClient()),
            shared.time(),
            shared.threads().control());
    reporter =
        new DaemonReporter(shared.network(), shared.configuration(), report, loop, shared.time());
  }

  ControlLoop loop() {
    return loop;
  }

  void start() {
    lease.start();
    loop.start();
    reporter.start(shared.threads().control());
  }

  /** Gives up control; run it on the control thread. */
  void stop() {
    reporter.close();
    loop.close();
    lease.close();
  }

  /** Logs gain and loss of the lease. */
  private static final class LoggingLeaseListener implements LeaseListener {
    @Override
    public void leaseAcquired(final String lease) {
      Logger.info("control: this daemon holds lease {} and may take control", lease);
    }

    @Override
    public void leaseLost(final String lease) {
      Logger.warn("control: lease {} is no longer surely held; rounds stop", lease);
    }
  }
}
