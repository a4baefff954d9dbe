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

/** Hands out slots: asks the dispatcher of a service, and is the dispatcher of some services. */
public final class DispatchService implements SlotSource, StateSource {
  /** Time in ns between two looks at the peers; a tenth of the silence after which one is dead. */
  private static final long LOOK_NANOS = 50_000_000L;

  /** Interval in ns at which the report and the state are made anew. */
  private static final long PUBLISH_NANOS = 1_000_000_000L;

  /** Silence in ms after which a daemon counts as dead and its slots are freed. */
  private static final long DEAD_MILLIS = 1_000;

  /** The other daemons. */
  private final PeerNetwork network;

  /** The configuration. */
  private final ConfigurationView configuration;

  /** The clock. */
  private final TimeSource time;

  /** The dispatcher thread. */
  private final Executor executor;

  /** Chooses the dispatchers. */
  private final DispatcherSelector choice;

  /** Asks for this daemon's requests. */
  private final SlotRequester asker;

  /** Dispatches for all daemons. */
  private final LocalDispatchers host;

  /** Incarnations of the daemons that were heard, 0 for a dead one. */
  private final Map<String, Long> incarnations = new HashMap<>();

  /** VMs under a drain notice. */
  private Set<String> noticedVms = Set.of();

  /** Monotonic time of the last look at the peers. */
  private long lookedNanos;

  /** Monotonic time of the last report. */
  private long publishedNanos;

  /** Present report, for other threads. */
  private volatile DispatchReport report = new DispatchReport(Map.of(), Set.of());

  /** Present state, for other threads. */
  private volatile JsonNode state = JsonNodeFactory.instance.objectNode();

  /**
   * Creates the service and registers its messages; call it before the network starts.
   *
   * @param network the other daemons
   * @param configuration the configuration
   * @param place availability zone and region of this daemon
   * @param time the clock
   * @param random source of jitter
   * @param executor the dispatcher thread, which also has to call {@link #tick()}
   */
  public DispatchService(
      final PeerNetwork network,
      final ConfigurationView configuration,
      final DaemonLocation place,
      final TimeSource time,
      final Random random,
      final Executor executor) {
    this.network = network;
    this.configuration = configuration;
    this.time = time;
    this.executor = executor;
    this.lookedNanos = time.nanos() - LOOK_NANOS;
    this.choice = new DispatcherSelector(network, place.region());
    this.host = new LocalDispatchers(time, random, this::send);
    this.asker = new SlotRequester(choice, place.availabilityZone(), time, executor, this::send);
    register("slot-request", SlotRequest.class, host::request);
    register("slot-release", SlotRelease.class, host::release);
    register("slot-cancel", SlotCancel.class, host::cancel);
    register("slot-report", SlotReport.class, host::reconcileSlots);
    register("slot-grant", SlotGrant.class, asker::granted);
    register("slot-refusal", SlotRefusal.class, asker::refused);
    network.onPeerChange(peer -> executor.execute(this::lookAtPeers));
    configuration.onChange(snapshot -> executor.execute(this::configure));
    executor.execute(this::lookAtPeers);
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

  /** A message to this daemon itself is a task of its own, as decisions must not call back. */
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
      host.request(self, request);
    } else if (message instanceof SlotRelease release) {
      host.release(self, release);
    } else if (message instanceof SlotCancel cancel) {
      host.cancel(self, cancel);
    } else if (message instanceof SlotReport slots) {
      host.reconcileSlots(self, slots);
    } else if (message instanceof SlotGrant grant) {
      asker.granted(self, grant);
    } else if (message instanceof SlotRefusal refusal) {
      asker.refused(self, refusal);
    }
  }

  private void configure() {
    host.configure(configuration.current(), noticedVms);
  }

  /** Frees the slots of daemons that are dead or have started again. */
  private void lookAtPeers() {
    for (final PeerView peer : network.peers()) {
      final boolean alive = peer.live() && peer.silentMillis() < DEAD_MILLIS;
      final long present = alive ? peer.incarnation() : 0;
      final Long before = incarnations.put(peer.id(), present);
      if (before != null && before != 0 && before != present) {
        host.releaseDaemonSlots(peer.id());
      }
    }
    choice.refresh();
  }

  /** Does what is due; the dispatcher thread calls it every 10 ms. */
  public void tick() {
    if (time.nanos() - lookedNanos >= LOOK_NANOS) {
      lookedNanos = time.nanos();
      lookAtPeers();
    }
    host.tick();
    asker.tick();
    if (time.nanos() - publishedNanos >= PUBLISH_NANOS) {
      publishedNanos = time.nanos();
      publish();
    }
  }

  private void publish() {
    report = host.report(service -> choice.dispatcher(service).equals(network.self()));
    final ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("pending", asker.pending());
    root.put("held", asker.held());
    final ObjectNode services = root.putObject("dispatchers");
    host.statistics()
        .forEach(
            (service, figures) ->
                services
                    .putObject(service)
                    .put("workers", figures.workers())
                    .put("slots", figures.slots())
                    .put("busySlots", figures.busySlots())
                    .put("longSlots", figures.longSlots())
                    .put("waitingShort", figures.waitingShort())
                    .put("waitingLong", figures.waitingLong())
                    .put("estimates", figures.estimates()));
    state = root;
  }

  @Override
  public CompletableFuture<Slot> acquire(final SlotRequirements demand) {
    return asker.acquire(demand);
  }

  /**
   * Sets the VMs that get no new work although the fleet document has them in service.
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
   * Returns load and worker health for the report to the control holder, made anew every second;
   * callable from every thread.
   *
   * @return the present report
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
