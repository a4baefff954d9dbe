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
 * Keeps the VMs that get no new work before the fleet document says so: because the platform takes
 * them away, or because an operator drained them while the platform was down. A notice only takes a
 * VM out of use and lapses by itself, so a wrong or late one does no lasting harm.
 */
public final class DrainNotices implements StateSource {
  /** Time for which an operator's notice holds. */
  public static final Duration OPERATOR_NOTICE_DURATION = Duration.ofMinutes(10);

  /**
   * Time for which a notice about a leaving VM holds; the daemon that reads the platform's list
   * repeats it every second.
   */
  public static final Duration LEAVING_NOTICE_DURATION = Duration.ofSeconds(5);

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The other daemons. */
  private final PeerNetwork network;

  /** Clock of the notices. */
  private final TimeSource time;

  /** The control thread. */
  private final Executor control;

  /** Receives the VMs whenever they change. */
  private final Consumer<Set<String>> onChange;

  /** Monotonic time at which the notice of a VM lapses. */
  private final Map<String, Long> untilNanos = new HashMap<>();

  /** The VMs that were last given to the receiver, and to other threads. */
  private volatile Set<String> current = Set.of();

  /**
   * Registers the message with the network; call it before the network starts.
   *
   * @param network the other daemons
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
   * Gives a VM no new work on this daemon and on all peers that can be reached; callable from every
   * thread.
   *
   * @param vm name of the VM
   * @param reason why, for the log
   */
  public void announce(final String vm, final String reason) {
    Logger.info("control: VM {} gets no new work for {}: {}", vm, OPERATOR_NOTICE_DURATION, reason);
    control.execute(() -> spread(Map.of(vm, OPERATOR_NOTICE_DURATION.toMillis())));
  }

  /**
   * Gives VMs no new work that the platform's list reports as leaving or gone.
   *
   * @param vms names of the VMs; nothing happens when there are none
   */
  public void announceLeaving(final Set<String> vms) {
    final Map<String, Long> notice = new HashMap<>();
    vms.forEach(vm -> notice.put(vm, LEAVING_NOTICE_DURATION.toMillis()));
    if (!notice.isEmpty()) {
      control.execute(() -> spread(notice));
    }
  }

  /**
   * Drops the notices of VMs with a recorded hold; from then on the fleet document decides.
   *
   * @param snapshot the present configuration
   */
  public void configure(final ConfigurationSnapshot snapshot) {
    for (final HoldSpec hold : snapshot.records().holds().values()) {
      untilNanos.remove(hold.vm());
    }
    publish();
  }

  /** Drops the notices that have lapsed; the control thread calls it every 250 ms. */
  public void tick() {
    final long now = time.nanos();
    untilNanos.values().removeIf(until -> until - now <= 0);
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

  private void spread(final Map<String, Long> remainingMillis) {
    final DrainNotice notice = new DrainNotice(remainingMillis);
    for (final PeerView peer : network.peers()) {
      network.send(peer.id(), notice);
    }
    receive(notice);
  }

  private void receive(final DrainNotice notice) {
    final long now = time.nanos();
    final long longest = OPERATOR_NOTICE_DURATION.toMillis();
    new TreeMap<>(notice.remainingMillis())
        .forEach(
            (vm, millis) ->
                untilNanos.merge(vm, now + Math.min(millis, longest) * NANOS_PER_MILLI, Math::max));
    publish();
  }

  private void publish() {
    final Set<String> next = Set.copyOf(untilNanos.keySet());
    if (!next.equals(current)) {
      current = next;
      onChange.accept(next);
    }
  }
}
