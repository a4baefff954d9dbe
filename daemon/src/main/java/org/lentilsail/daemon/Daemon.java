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

/** One entry daemon: all parts, in the order in which they start and stop. */
final class Daemon {
  /** Longest time in s that requests in flight get on a stop; above every service's time-out. */
  private static final int STOP_SECONDS = 600;

  /** Longest time in s that giving up the control lease may take. */
  private static final int HAND_OVER_SECONDS = 3;

  /** Time, network, platform and configuration. */
  private final SharedComponents shared;

  /** Slots on workers. */
  private final DispatchComponents dispatch;

  /** Distribution of configuration and drain notices. */
  private final ConfigurationComponents configuration;

  /** Control. */
  private final ControlComponents control;

  /** Requests of callers. */
  private final TrafficComponents traffic;

  /** Operators' interface. */
  private final AdminServer admin;

  private Daemon(final EntrySettings settings) throws IOException {
    shared = new SharedComponents(settings);
    dispatch = new DispatchComponents(shared);
    configuration = new ConfigurationComponents(shared, dispatch.dispatch()::setDrainNotices);
    control = new ControlComponents(shared, dispatch::report);
    traffic = new TrafficComponents(shared, dispatch);
    admin = new AdminServer(settings.adminAddress().socketAddress(), adminParts());
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
        "daemon: {} runs in availability zone {}", settings.id(), settings.availabilityZone());
    return daemon;
  }

  /** Stops without cutting off a request. */
  void stop() {
    Logger.info("daemon: stopping; requests in flight end first");
    await(traffic.stop(), STOP_SECONDS, "requests in flight");
    final CompletableFuture<Void> handedOver =
        CompletableFuture.runAsync(control::stop, shared.threads().control());
    await(handedOver, HAND_OVER_SECONDS, "the control lease");
    traffic.close();
    admin.close();
    shared.close();
    Logger.info("daemon: stopped");
  }

  private static void await(
      final CompletableFuture<Void> step, final int seconds, final String what) {
    try {
      step.get(seconds, TimeUnit.SECONDS);
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (final ExecutionException | TimeoutException error) {
      Logger.warn("daemon: {} did not end as planned: {}", what, error.toString());
    }
  }

  private AdminComponents adminParts() {
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
