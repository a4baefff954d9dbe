package org.lentilsail.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lentilsail.admin.StateSource;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.peer.PeerNetwork;
import org.lentilsail.platform.Listing;
import org.lentilsail.platform.PlatformClient;
import org.lentilsail.platform.VmReport;
import org.lentilsail.platform.WatchResult;
import org.tinylog.Logger;

/**
 * Watches the platform while this daemon is the live one with the lowest id in its zone that
 * reports a working platform connection. The other daemons only look now and then whether the
 * platform answers them. Runs on the control thread.
 */
public final class PlatformWatcher implements StateSource {
  /** Time in ms between two looks at what there is to do. */
  private static final long TICK_MILLIS = 50;

  /** How long the platform holds a watch without changes. */
  private static final Duration WATCH_WAIT = Duration.ofSeconds(20);

  /** Time between two reads of the list of VMs. */
  private static final Duration VMS_PERIOD = Duration.ofSeconds(1);

  /** Time between two probes by a daemon that does not watch. */
  private static final Duration PROBE_PERIOD = Duration.ofSeconds(5);

  /** Time between two probes by a daemon that the platform does not answer. */
  private static final Duration RETRY_PERIOD = Duration.ofSeconds(1);

  /** Key that probes read; it need not exist. */
  private static final String PROBE_KEY = "control/probe";

  /** The platform. */
  private final PlatformClient platform;

  /** The configuration. */
  private final ConfigurationStore store;

  /** Sends changes to the peers. */
  private final PeerSync sync;

  /** The peers. */
  private final PeerNetwork network;

  /** Takes note of whether the platform answers. */
  private final PlatformHealth health;

  /** Clock. */
  private final TimeSource time;

  /** The control thread. */
  private final ScheduledExecutorService control;

  /** Availability zone of this daemon. */
  private final String availabilityZone;

  /** Takes each list of VMs. */
  private final Consumer<List<VmReport>> onVms;

  /** When to read the list of VMs. */
  private final CallSchedule vms;

  /** When to probe. */
  private final CallSchedule probes;

  /** When to list or watch. */
  private final CallSchedule watches;

  /** The watch under way, null without one. */
  private CompletableFuture<WatchResult> watch;

  /** Whether the values have to be listed before they are watched. */
  private boolean mustList = true;

  /** Whether this daemon watches. */
  private volatile boolean watching;

  /**
   * Creates a watcher that does nothing yet.
   *
   * @param platform the platform
   * @param store the configuration
   * @param sync sends changes to the peers
   * @param network the peers
   * @param health takes note of whether the platform answers
   * @param time clock
   * @param control the control thread
   * @param availabilityZone availability zone of this daemon
   * @param onVms takes each list of VMs on the control thread while this daemon watches
   */
  public PlatformWatcher(
      final PlatformClient platform,
      final ConfigurationStore store,
      final PeerSync sync,
      final PeerNetwork network,
      final PlatformHealth health,
      final TimeSource time,
      final ScheduledExecutorService control,
      final String availabilityZone,
      final Consumer<List<VmReport>> onVms) {
    this.platform = platform;
    this.store = store;
    this.sync = sync;
    this.network = network;
    this.health = health;
    this.time = time;
    this.control = control;
    this.availabilityZone = availabilityZone;
    this.onVms = onVms;
    this.vms = new CallSchedule(time);
    this.probes = new CallSchedule(time);
    this.watches = new CallSchedule(time);
  }

  /** Begins to look at the platform. */
  public void start() {
    control.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Tells whether this daemon watches the platform; callable from every thread.
   *
   * @return whether it does
   */
  public boolean isWatching() {
    return watching;
  }

  @Override
  public String stateName() {
    return "platform";
  }

  @Override
  public JsonNode state() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("connected", health.platformConnected())
        .put("watching", watching);
  }

  private void tick() {
    final boolean chosen = health.platformConnected() && !isOtherChosen();
    if (chosen != watching) {
      watching = chosen;
      Logger.info("config: {} the platform", chosen ? "watches" : "no longer watches");
    }
    if (chosen) {
      if (watches.tryBegin()) {
        listOrWatch();
      }
      if (vms.tryBegin()) {
        readVms();
      }
    } else {
      if (watch != null) {
        watch.cancel(true);
      }
      if (probes.tryBegin()) {
        probe();
      }
    }
  }

  private boolean isOtherChosen() {
    return network.peers().stream()
        .anyMatch(
            peer ->
                peer.live()
                    && peer.platformConnected()
                    && peer.availabilityZone().equals(availabilityZone)
                    && peer.id().compareTo(network.self()) < 0);
  }

  private void listOrWatch() {
    if (mustList) {
      platform.list("").whenCompleteAsync(this::listed, control);
    } else {
      final long after = store.current().revision();
      watch = platform.watch("", after, WATCH_WAIT);
      watch.whenCompleteAsync((result, failure) -> watched(after, result, failure), control);
    }
  }

  private void listed(final Listing listing, final Throwable failure) {
    watches.end(failure == null ? Duration.ZERO : RETRY_PERIOD);
    if (failure != null) {
      lose(failure);
      return;
    }
    health.setConnected(true);
    final long before = store.current().revision();
    mustList = listing.revision() < before;
    if (mustList) {
      Logger.error(
          "config: the platform's revision {} is below this daemon's {}; it has lost values",
          listing.revision(),
          before);
      watches.end(RETRY_PERIOD);
    } else if (store.apply(listing) == ApplyResult.APPLIED) {
      sync.push(store.changesSince(before));
    }
  }

  private void watched(final long after, final WatchResult result, final Throwable failure) {
    final boolean cancelled = watch != null && watch.isCancelled();
    watch = null;
    watches.end(failure == null || cancelled ? Duration.ZERO : RETRY_PERIOD);
    if (failure != null) {
      if (!cancelled) {
        lose(failure);
      }
      return;
    }
    health.setConnected(true);
    mustList = !result.complete();
    if (result.complete()) {
      final ChangeBatch batch = new ChangeBatch(false, after, result.revision(), result.changes());
      if (store.apply(batch) == ApplyResult.APPLIED) {
        sync.push(store.changesSince(after));
      }
    }
    if (watching && watches.tryBegin()) {
      listOrWatch();
    }
  }

  private void readVms() {
    platform
        .vms()
        .whenCompleteAsync(
            (reports, failure) -> {
              vms.end(VMS_PERIOD);
              if (failure == null) {
                health.setConnected(true);
                onVms.accept(reports);
              } else {
                lose(failure);
              }
            },
            control);
  }

  private void probe() {
    platform
        .get(PROBE_KEY)
        .whenCompleteAsync(
            (value, failure) -> {
              probes.end(failure == null ? PROBE_PERIOD : RETRY_PERIOD);
              health.setConnected(failure == null);
            },
            control);
  }

  /** Leaves the watch to the next daemon of the zone until a probe succeeds. */
  private void lose(final Throwable failure) {
    if (health.platformConnected()) {
      Logger.warn("config: the platform does not answer: {}", failure.getMessage());
    }
    health.setConnected(false);
    probes.postpone(RETRY_PERIOD);
  }
}
