package org.lentilsail.daemon;

import java.util.Random;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.dispatch.DaemonLocation;
import org.lentilsail.dispatch.DispatchReport;
import org.lentilsail.dispatch.DispatchService;
import org.lentilsail.entry.InFlightTable;
import org.lentilsail.model.fleet.DaemonReport;
import org.lentilsail.model.settings.EntrySettings;

/**
 * Components that grant slots and count requests in flight; builds this daemon's report from both.
 */
final class DispatchComponents {
  private final SharedComponents shared;

  private final DispatchService dispatch;

  /** Requests in flight by VM. */
  private final InFlightTable inFlight = new InFlightTable();

  /**
   * Creates the components; must be called before the network starts.
   *
   * @param shared components that this group depends on
   */
  DispatchComponents(final SharedComponents shared) {
    this.shared = shared;
    final EntrySettings settings = shared.settings();
    dispatch =
        new DispatchService(
            shared.network(),
            shared.configuration(),
            new DaemonLocation(settings.availabilityZone(), settings.region()),
            shared.time(),
            new Random(),
            shared.threads().dispatch());
    shared.configuration().onChange(snapshot -> inFlight.apply(snapshot.fleet()));
  }

  DispatchService dispatch() {
    return dispatch;
  }

  InFlightTable inFlight() {
    return inFlight;
  }

  void start() {
    shared.threads().dispatch().tick(dispatch);
  }

  /**
   * Returns the current report. The fleet document is read before the counts, as {@link
   * InFlightTable} requires.
   *
   * @return the report
   */
  DaemonReport report() {
    final ConfigurationSnapshot snapshot = shared.configuration().current();
    final DispatchReport dispatched = dispatch.report();
    return new DaemonReport(
        shared.settings().id(),
        shared.settings().availabilityZone(),
        snapshot.fleetRevision(),
        dispatched.loads(),
        inFlight.inFlight(snapshot.fleet()),
        inFlight.responses(),
        dispatched.unhealthyVms());
  }
}
