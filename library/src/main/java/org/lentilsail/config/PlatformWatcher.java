package org.lentilsail.config;

import static org.lentilsail.concurrent.Callbacks.loggedTask;

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
 * Watches the platform while this daemon has the lowest id of the live daemons in its availability
 * zone that report a working platform connection. The other daemons only probe periodically whether
 * the platform answers them. Runs on the control thread.
 */
public final class PlatformWatcher implements StateSource {
  /** Time in ms between two ticks. */
  private static final long TICK_MILLIS = 50;

  /** Time after which the platform answers a watch that has no changes. */
  private static final Duration WATCH_WAIT = Duration.ofSeconds(20);

  /** Time between two reads of the list of VMs. */
  private static final Duration VMS_PERIOD = Duration.ofSeconds(1);

  /** Time between two probes by a daemon that does not watch. */
  private static final Duration PROBE_PERIOD = Duration.ofSeconds(5);

  /** Time between two probes, lists or watches while the platform does not answer. */
  private static final Duration RETRY_PERIOD = Duration.ofSeconds(1);

  /** Key that probes read; it need not exist. */
  private static final String PROBE_KEY = "control/probe";

  private final PlatformClient platform;

  private final ConfigurationStore store;

  /** Sends changes to the peers. */
  private final PeerSync sync;

  private final PeerNetwork network;

  /** Records whether the platform answers. */
  private final PlatformHealth health;

  private final TimeSource time;

  private final ScheduledExecutorService control;

  private final String availabilityZone;

  /** Receives each list of VMs. */
  private final Consumer<List<VmReport>> onVms;

  /** Schedule of the reads of the list of VMs. */
  private final CallSchedule vms;

  /** Schedule of the probes. */
  private final CallSchedule probes;

  /** Schedule of the lists and watches of values. */
  private final CallSchedule watches;

  /** Watch in progress, null without one. */
  private CompletableFuture<WatchResult> watch;

  /** Whether the values have to be listed before they are watched. */
  private boolean mustList = true;

  /** Whether this daemon watches the platform. */
  private volatile boolean watching;

  /**
   * Creates a watcher that does nothing yet.
   *
   * @param platform the platform
   * @param store the configuration
   * @param sync sends changes to the peers
   * @param network the peers
   * @param health records whether the platform answers
   * @param time source of monotonic time
   * @param control the control thread
   * @param availabilityZone availability zone of this daemon
   * @param onVms receives each list of VMs on the control thread while this daemon watches
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

  /** Starts to watch or probe the platform periodically. */
  public void start() {
    control.scheduleWithFixedDelay(
        loggedTask("platform watcher", this::tick), 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns whether this daemon watches the platform; can be called from any thread.
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
    final boolean elected = health.platformConnected() && !isOtherElected();
    if (elected != watching) {
      watching = elected;
      Logger.info("config: {} the platform", elected ? "watches" : "no longer watches");
    }
    if (elected) {
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

  private boolean isOtherElected() {
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
      platform.list("").whenCompleteAsync(this::onListed, control);
    } else {
      final long after = store.current().revision();
      watch = platform.watch("", after, WATCH_WAIT);
      watch.whenCompleteAsync((result, failure) -> onWatchResult(after, result, failure), control);
    }
  }

  private void onListed(final Listing listing, final Throwable failure) {
    watches.end(failure == null ? Duration.ZERO : RETRY_PERIOD);
    if (failure != null) {
      onPlatformFailure(failure);
      return;
    }
    health.setConnected(true);
    final long before = store.current().revision();
    mustList = listing.revision() < before;
    if (mustList) {
      Logger.error(
          "config: platform revision {} is below this daemon's {}; the platform has lost values",
          listing.revision(),
          before);
      watches.end(RETRY_PERIOD);
    } else if (store.apply(listing) == ApplyResult.APPLIED) {
      sync.push(store.changesSince(before));
    }
  }

  private void onWatchResult(final long after, final WatchResult result, final Throwable failure) {
    final boolean cancelled = watch != null && watch.isCancelled();
    watch = null;
    watches.end(failure == null || cancelled ? Duration.ZERO : RETRY_PERIOD);
    if (failure != null) {
      if (!cancelled) {
        onPlatformFailure(failure);
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
                onPlatformFailure(failure);
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

  /** Reports a failed call, so that the next daemon in the zone watches until a probe succeeds. */
  private void onPlatformFailure(final Throwable failure) {
    if (health.platformConnected()) {
      Logger.warn("config: the platform does not answer: {}", failure.getMessage());
    }
    health.setConnected(false);
    probes.postpone(RETRY_PERIOD);
  }
}
