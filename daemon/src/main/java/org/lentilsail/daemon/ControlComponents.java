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

/**
 * Components of fleet control: the control loop, which is active only while this daemon holds the
 * control lease, and the reporter, which sends this daemon's state to the leader.
 */
final class ControlComponents {
  /** Number of lease renewals within the time to live of the lease. */
  private static final int RENEWALS_PER_LEASE = 5;

  private final SharedComponents shared;

  /** Acquires and renews the control lease. */
  private final LeaseManager lease;

  private final ControlLoop loop;

  /** Sends the report of this daemon to the leader. */
  private final DaemonReporter reporter;

  /**
   * Creates the components; must be called before the network starts.
   *
   * @param shared components that this group depends on
   * @param report supplies the current report of this daemon
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

  /** Gives up leadership and releases the lease; must run on the control thread. */
  void stop() {
    reporter.close();
    loop.close();
    lease.close();
  }

  /** Logs the acquisition and loss of the lease. */
  private static final class LoggingLeaseListener implements LeaseListener {
    @Override
    public void leaseAcquired(final String lease) {
      Logger.info("control: acquired lease {}; this daemon may become the leader", lease);
    }

    @Override
    public void leaseLost(final String lease) {
      Logger.warn(
          "control: lease {} can no longer be assumed valid; stopping control rounds", lease);
    }
  }
}
