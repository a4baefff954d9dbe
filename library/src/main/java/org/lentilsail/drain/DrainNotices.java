package org.lentilsail.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.lentilsail.admin.StateSource;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.model.record.HoldSpec;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.peer.PeerNetwork;
import org.lentilsail.peer.PeerView;
import org.tinylog.Logger;

/**
 * Tracks the VMs that get no new work although they are in service in the fleet document, because
 * the platform is removing them or because an operator drained them while the platform was
 * unavailable. A notice only takes a VM out of use, and it expires, so a wrong or late notice has
 * no lasting effect.
 */
public final class DrainNotices implements StateSource {
  /** Validity of an operator's notice. */
  public static final Duration OPERATOR_NOTICE_DURATION = Duration.ofMinutes(10);

  /**
   * Validity of a notice about a VM that the platform is removing; the daemon that reads the
   * platform's list repeats the notice every second.
   */
  public static final Duration LEAVING_NOTICE_DURATION = Duration.ofSeconds(5);

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final PeerNetwork network;
  private final TimeSource time;
  private final Executor control;
  private final Consumer<Set<String>> onChange;

  /** Monotonic time at which the notice expires, by VM. */
  private final Map<String, Long> expiryNanos = new HashMap<>();

  /** The VMs last passed to {@link #onChange}, read by other threads. */
  private volatile Set<String> current = Set.of();

  /**
   * Registers the message handler with the network; call it before the network starts.
   *
   * @param network sends notices to the other daemons
   * @param time clock of the notices
   * @param control the control thread, which also has to call {@link #tick()}
   * @param onChange receives the VMs whenever they change
   */
  public DrainNotices(
      final PeerNetwork network,
      final TimeSource time,
      final Executor control,
      final Consumer<Set<String>> onChange) {
    this.network = network;
    this.time = time;
    this.control = control;
    this.onChange = onChange;
    network.handle(
        DrainNotice.TYPE,
        DrainNotice.class,
        (from, notice) -> {
          control.execute(() -> receive(notice));
          return null;
        });
  }

  /**
   * Stops new work for a VM on this daemon and on all reachable peers; callable from every thread.
   *
   * @param vm name of the VM
   * @param reason reason for the log
   */
  public void announce(final String vm, final String reason) {
    Logger.info("control: VM {} gets no new work for {}: {}", vm, OPERATOR_NOTICE_DURATION, reason);
    control.execute(() -> broadcast(Map.of(vm, OPERATOR_NOTICE_DURATION.toMillis())));
  }

  /**
   * Stops new work for VMs that the platform's list reports as leaving or gone, on this daemon and
   * on all reachable peers; callable from every thread.
   *
   * @param vms names of the VMs, may be empty
   */
  public void announceLeaving(final Set<String> vms) {
    final Map<String, Long> notice = new HashMap<>();
    vms.forEach(vm -> notice.put(vm, LEAVING_NOTICE_DURATION.toMillis()));
    if (!notice.isEmpty()) {
      control.execute(() -> broadcast(notice));
    }
  }

  /**
   * Drops the notices of VMs with a recorded hold; from then on the fleet document applies.
   *
   * @param snapshot the current configuration
   */
  public void configure(final ConfigurationSnapshot snapshot) {
    for (final HoldSpec hold : snapshot.records().holds().values()) {
      expiryNanos.remove(hold.vm());
    }
    publish();
  }

  /** Drops expired notices; the control thread calls it every 250 ms. */
  public void tick() {
    final long now = time.nanos();
    expiryNanos.values().removeIf(expiry -> expiry - now <= 0);
    publish();
  }

  /**
   * Returns the VMs that get no new work; callable from every thread.
   *
   * @return names of the VMs
   */
  public Set<String> vms() {
    return current;
  }

  @Override
  public String stateName() {
    return "drainNotices";
  }

  @Override
  public JsonNode state() {
    final ObjectNode result = JsonNodeFactory.instance.objectNode();
    current.stream().sorted().forEach(result.putArray("vms")::add);
    return result;
  }

  private void broadcast(final Map<String, Long> remainingMillis) {
    final DrainNotice notice = new DrainNotice(remainingMillis);
    for (final PeerView peer : network.peers()) {
      network.send(peer.id(), notice);
    }
    receive(notice);
  }

  private void receive(final DrainNotice notice) {
    final long now = time.nanos();
    final long maxMillis = OPERATOR_NOTICE_DURATION.toMillis();
    new TreeMap<>(notice.remainingMillis())
        .forEach(
            (vm, millis) ->
                expiryNanos.merge(
                    vm, now + Math.min(millis, maxMillis) * NANOS_PER_MILLI, Math::max));
    publish();
  }

  private void publish() {
    final Set<String> next = Set.copyOf(expiryNanos.keySet());
    if (!next.equals(current)) {
      current = next;
      onChange.accept(next);
    }
  }
}
