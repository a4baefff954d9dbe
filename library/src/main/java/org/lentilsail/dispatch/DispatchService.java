package org.lentilsail.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.lentilsail.admin.StateSource;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.peer.PeerMessage;
import org.lentilsail.peer.PeerNetwork;
import org.lentilsail.peer.PeerView;

/** Acquires slots from the dispatcher of a service and runs the dispatchers of some services. */
public final class DispatchService implements SlotSource, StateSource {
  /** Interval of the liveness checks in ns: a tenth of the takeover time of the dispatchers. */
  private static final long PEER_CHECK_NANOS = 50_000_000L;

  /** Interval in ns at which the report and the state are recomputed. */
  private static final long PUBLISH_NANOS = 1_000_000_000L;

  /** Time in ms without a message after which a daemon is dead and its slots are released. */
  private static final long DEAD_AFTER_MILLIS = 1_000;

  private final PeerNetwork network;
  private final ConfigurationView configuration;
  private final TimeSource time;
  private final Executor executor;
  private final DispatcherSelector selector;
  private final SlotRequester requester;
  private final LocalDispatchers dispatchers;

  /** Last known incarnation by daemon, 0 for a dead one. */
  private final Map<String, Long> incarnations = new HashMap<>();

  /** VMs under a drain notice. */
  private Set<String> noticedVms = Set.of();

  /** Monotonic time of the last liveness check. */
  private long checkedNanos;

  /** Monotonic time at which the report and the state were last recomputed. */
  private long publishedNanos;

  /** Current report, read by other threads. */
  private volatile DispatchReport report = new DispatchReport(Map.of(), Set.of());

  /** Current state, read by other threads. */
  private volatile JsonNode state = JsonNodeFactory.instance.objectNode();

  /**
   * Creates the service and registers its message handlers; call it before the network starts.
   *
   * @param network sends messages to the other daemons
   * @param configuration the configuration
   * @param location availability zone and region of this daemon
   * @param time the clock
   * @param random source of jitter
   * @param executor the dispatcher thread, which also has to call {@link #tick()}
   */
  public DispatchService(
      final PeerNetwork network,
      final ConfigurationView configuration,
      final DaemonLocation location,
      final TimeSource time,
      final Random random,
      final Executor executor) {
    this.network = network;
    this.configuration = configuration;
    this.time = time;
    this.executor = executor;
    this.checkedNanos = time.nanos() - PEER_CHECK_NANOS;
    this.selector = new DispatcherSelector(network, location.region());
    this.dispatchers = new LocalDispatchers(time, random, this::send);
    this.requester =
        new SlotRequester(selector, location.availabilityZone(), time, executor, this::send);
    register("slot-request", SlotRequest.class, dispatchers::request);
    register("slot-release", SlotRelease.class, dispatchers::release);
    register("slot-cancel", SlotCancel.class, dispatchers::cancel);
    register("slot-report", SlotReport.class, dispatchers::reconcileSlots);
    register("slot-grant", SlotGrant.class, requester::granted);
    register("slot-refusal", SlotRefusal.class, requester::refused);
    network.onPeerChange(peer -> executor.execute(this::checkPeers));
    configuration.onChange(snapshot -> executor.execute(this::configure));
    executor.execute(this::checkPeers);
    executor.execute(this::configure);
  }

  private <M extends PeerMessage> void register(
      final String name, final Class<M> type, final BiConsumer<String, M> handler) {
    network.handle(
        name,
        type,
        (from, message) -> {
          executor.execute(() -> handler.accept(from, message));
          return null;
        });
  }

  /**
   * Sends a message. A message to this daemon runs as a separate task, because a dispatcher must
   * not be called again while it makes a decision.
   */
  private void send(final String daemon, final PeerMessage message) {
    if (daemon.equals(network.self())) {
      executor.execute(() -> deliver(message));
    } else {
      network.send(daemon, message);
    }
  }

  private void deliver(final PeerMessage message) {
    final String self = network.self();
    if (message instanceof SlotRequest request) {
      dispatchers.request(self, request);
    } else if (message instanceof SlotRelease release) {
      dispatchers.release(self, release);
    } else if (message instanceof SlotCancel cancel) {
      dispatchers.cancel(self, cancel);
    } else if (message instanceof SlotReport slots) {
      dispatchers.reconcileSlots(self, slots);
    } else if (message instanceof SlotGrant grant) {
      requester.granted(self, grant);
    } else if (message instanceof SlotRefusal refusal) {
      requester.refused(self, refusal);
    }
  }

  private void configure() {
    dispatchers.configure(configuration.current(), noticedVms);
  }

  /** Releases the slots of daemons that are dead or have restarted. */
  private void checkPeers() {
    for (final PeerView peer : network.peers()) {
      final boolean alive = peer.live() && peer.silentMillis() < DEAD_AFTER_MILLIS;
      final long current = alive ? peer.incarnation() : 0;
      final Long before = incarnations.put(peer.id(), current);
      if (before != null && before != 0 && before != current) {
        dispatchers.releaseDaemonSlots(peer.id());
      }
    }
    selector.refresh();
  }

  /** Runs the periodic work that is due; the dispatcher thread calls it every 10 ms. */
  public void tick() {
    if (time.nanos() - checkedNanos >= PEER_CHECK_NANOS) {
      checkedNanos = time.nanos();
      checkPeers();
    }
    dispatchers.tick();
    requester.tick();
    if (time.nanos() - publishedNanos >= PUBLISH_NANOS) {
      publishedNanos = time.nanos();
      publish();
    }
  }

  private void publish() {
    report = dispatchers.report(service -> selector.dispatcher(service).equals(network.self()));
    final ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("pending", requester.pending());
    root.put("held", requester.held());
    final ObjectNode services = root.putObject("dispatchers");
    dispatchers
        .statistics()
        .forEach(
            (service, statistics) ->
                services
                    .putObject(service)
                    .put("workers", statistics.workers())
                    .put("slots", statistics.slots())
                    .put("busySlots", statistics.busySlots())
                    .put("longSlots", statistics.longSlots())
                    .put("waitingShort", statistics.waitingShort())
                    .put("waitingLong", statistics.waitingLong())
                    .put("estimates", statistics.estimates()));
    state = root;
  }

  @Override
  public CompletableFuture<Slot> acquire(final SlotRequirements requirements) {
    return requester.acquire(requirements);
  }

  /**
   * Sets the VMs that get no new work although they are in service in the fleet document.
   *
   * @param vms VMs under a drain notice
   */
  public void setDrainNotices(final Set<String> vms) {
    final Set<String> copy = Set.copyOf(vms);
    executor.execute(
        () -> {
          noticedVms = copy;
          configure();
        });
  }

  /**
   * Returns load and worker health for the report to the leader, recomputed every second; callable
   * from every thread.
   *
   * @return the current report
   */
  public DispatchReport report() {
    return report;
  }

  @Override
  public String stateName() {
    return "dispatch";
  }

  @Override
  public JsonNode state() {
    return state;
  }
}
