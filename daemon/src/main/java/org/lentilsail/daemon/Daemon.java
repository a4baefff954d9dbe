package org.lentilsail.daemon;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.lentilsail.acceptance.OperatorCommands;
import org.lentilsail.acceptance.RecordService;
import org.lentilsail.acceptance.Sleeper;
import org.lentilsail.admin.AdminComponents;
import org.lentilsail.admin.AdminServer;
import org.lentilsail.admin.SnapshotExplainer;
import org.lentilsail.model.settings.EntrySettings;
import org.tinylog.Logger;

/** An entry daemon: creates its components and starts and stops them in order. */
final class Daemon {
  /**
   * Maximum time in s that a stop waits for requests in flight; longer than any service's timeout.
   */
  private static final int STOP_SECONDS = 600;

  /** Maximum time in s that a stop waits for the release of the control lease. */
  private static final int LEASE_RELEASE_SECONDS = 3;

  private final SharedComponents shared;

  private final DispatchComponents dispatch;

  private final ConfigurationComponents configuration;

  private final ControlComponents control;

  private final TrafficComponents traffic;

  private final AdminServer admin;

  private Daemon(final EntrySettings settings) throws IOException {
    shared = new SharedComponents(settings);
    dispatch = new DispatchComponents(shared);
    configuration = new ConfigurationComponents(shared, dispatch.dispatch()::setDrainNotices);
    control = new ControlComponents(shared, dispatch::report);
    traffic = new TrafficComponents(shared, dispatch);
    admin = new AdminServer(settings.adminAddress().socketAddress(), adminComponents());
  }

  /**
   * Starts a daemon.
   *
   * @param settings settings of the daemon
   * @return the running daemon
   * @throws IOException when an address cannot be bound
   */
  static Daemon start(final EntrySettings settings) throws IOException {
    final Daemon daemon = new Daemon(settings);
    daemon.shared.network().start();
    daemon.dispatch.start();
    daemon.configuration.start();
    daemon.control.start();
    daemon.traffic.start();
    Logger.info(
        "daemon: {} started in availability zone {}", settings.id(), settings.availabilityZone());
    return daemon;
  }

  /** Stops gracefully: requests in flight complete first. */
  void stop() {
    Logger.info("daemon: stopping; waiting for requests in flight");
    await(traffic.stop(), STOP_SECONDS, "completion of requests in flight");
    final CompletableFuture<Void> leaseReleased =
        CompletableFuture.runAsync(control::stop, shared.threads().control());
    await(leaseReleased, LEASE_RELEASE_SECONDS, "release of the control lease");
    traffic.close();
    admin.close();
    shared.close();
    Logger.info("daemon: stopped");
  }

  private static void await(
      final CompletableFuture<Void> step, final int seconds, final String stepName) {
    try {
      step.get(seconds, TimeUnit.SECONDS);
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (final ExecutionException | TimeoutException error) {
      Logger.warn("daemon: {} failed or timed out: {}", stepName, error.toString());
    }
  }

  private AdminComponents adminComponents() {
    final RecordService records =
        new RecordService(shared.platform(), shared.time(), Sleeper.blocking());
    return new AdminComponents(
        records,
        new OperatorCommands(records, configuration.notices()::announce),
        shared.configuration(),
        new SnapshotExplainer(shared.configuration()),
        shared.metrics(),
        List.of(traffic.serving(), new ConfigurationCheck(shared.configuration())),
        shared.health()::platformConnected,
        List.of(
            shared.network(),
            shared.configuration(),
            configuration.watcher(),
            configuration.notices(),
            dispatch.dispatch(),
            control.loop()));
  }
}
