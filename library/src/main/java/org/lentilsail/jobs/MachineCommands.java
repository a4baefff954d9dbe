package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.policy.job.MachineInventory;
import org.lentilsail.store.StoredItem;

/**
 * Keeps in the store, before an order about a machine is sent, that the machine has one. An order
 * may be held back by a network partition and be carried out seconds later, when another daemon
 * holds control; that daemon leaves the machines with such orders alone for some time, and those
 * that were ordered a short time ago until the lease of the earlier holder is over. Owned by the
 * control thread.
 */
final class MachineCommands {
  /** Time in ns for which an order without an answer may still be carried out. */
  private static final long LATE_NANOS = 15_000_000_000L;

  /** Time in ns between records that only remove machines. */
  private static final long CLEAR_NANOS = 1_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlContext parts;
  private final LeaderItems items;
  private final Map<String, String> underWay = new HashMap<>();
  private final Map<String, Blocked> blocked = new HashMap<>();
  private final List<Order> waiting = new ArrayList<>();
  private final Map<String, Long> answeredAt = new HashMap<>();
  private MachineCommandsDocument kept = new MachineCommandsDocument(Map.of(), List.of());
  private boolean writing;
  private long writtenAt = Long.MIN_VALUE / 2;

  /**
   * An order that waits to be recorded.
   *
   * @param machine id of the machine
   * @param send sends the order
   * @param cancel takes the order back
   */
  private record Order(String machine, Runnable send, Runnable cancel) {}

  /**
   * A machine that gets no orders.
   *
   * @param worker worker that the order ends, empty for none or when the order was answered
   * @param since monotonic time in ns from which a list shows whether the order was carried out
   * @param until monotonic time in ns at which it may be ordered again in any case
   * @param leaseUntil monotonic time in ns before which it may not be ordered
   */
  private record Blocked(String worker, long since, long until, long leaseUntil) {
    /** Tells whether the list shows that the order was carried out. */
    boolean isCarriedOut(final Machine machine, final long askedAt) {
      return askedAt > since
          && machine != null
          && !worker.isEmpty()
          && (machine.state() != MachineState.UP || !machine.worker().equals(worker));
    }
  }

  MachineCommands(final ControlContext parts, final LeaderItems items) {
    this.parts = parts;
    this.items = items;
  }

  /** Takes over the orders of an earlier holder. */
  void restore(final Optional<StoredItem> item, final long claimedAt) {
    final long lease = claimedAt + leaseNanos();
    item.flatMap(
            found -> Documents.<MachineCommandsDocument>read(Documents.MACHINE_COMMANDS, found))
        .ifPresent(
            document -> {
              document
                  .answered()
                  .forEach(id -> blocked.put(id, new Blocked("", claimedAt, lease, lease)));
              document
                  .unanswered()
                  .forEach(
                      (id, worker) ->
                          blocked.put(
                              id, new Blocked(worker, claimedAt, claimedAt + LATE_NANOS, lease)));
            });
  }

  /** Marks an order as under way; false when the machine has one already. */
  boolean begin(final Machine machine) {
    return !blocked.containsKey(machine.id())
        && underWay.putIfAbsent(machine.id(), machine.worker()) == null;
  }

  /** Sends an order that has begun as soon as it is recorded. */
  void send(final String machine, final Runnable send, final Runnable cancel) {
    waiting.add(new Order(machine, send, cancel));
  }

  /** Ends an order; one without an answer blocks its machine for some time. */
  void end(final String machine, final boolean answered) {
    final String worker = underWay.remove(machine);
    final long now = parts.time().nanos();
    if (answered) {
      answeredAt.put(machine, now);
    } else {
      blocked.put(machine, new Blocked(worker == null ? "" : worker, now, now + LATE_NANOS, now));
    }
  }

  /** Returns the machines that get no orders now. */
  Set<String> reserved() {
    final Set<String> reserved = new HashSet<>(underWay.keySet());
    reserved.addAll(blocked.keySet());
    return reserved;
  }

  /** Returns the machines with orders that may still be carried out. */
  Set<String> blocked() {
    return Set.copyOf(blocked.keySet());
  }

  void tick(final long now, final MachineInventory machines) {
    blocked
        .entrySet()
        .removeIf(
            entry ->
                now >= entry.getValue().until()
                    || now >= entry.getValue().leaseUntil()
                        && entry
                            .getValue()
                            .isCarriedOut(
                                machines.machine(entry.getKey()), machines.requestedAt()));
    answeredAt.values().removeIf(at -> now - at >= leaseNanos());
    final boolean outdated = now - writtenAt >= CLEAR_NANOS && !kept.equals(document());
    if (!writing && (!waiting.isEmpty() || outdated)) {
      write(now);
    }
  }

  private MachineCommandsDocument document() {
    final Map<String, String> unanswered = new TreeMap<>(underWay);
    blocked.forEach((id, order) -> unanswered.put(id, order.worker()));
    final Set<String> answered = new TreeSet<>(answeredAt.keySet());
    answered.removeAll(unanswered.keySet());
    return new MachineCommandsDocument(unanswered, List.copyOf(answered));
  }

  private long leaseNanos() {
    return parts.bounds().machineLeaseMillis() * NANOS_PER_MILLI;
  }

  private void write(final long now) {
    writing = true;
    writtenAt = now;
    final List<Order> recorded = List.copyOf(waiting);
    waiting.clear();
    final MachineCommandsDocument document = document();
    parts
        .store()
        .commit(
            items.write(
                items.newTransaction(), StoreKeys.MACHINE_COMMANDS, Documents.write(document)))
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  writing = false;
                  final boolean done =
                      failure == null
                          && items.handleResult(result, List.of(StoreKeys.MACHINE_COMMANDS))
                              == LeaderItems.WriteOutcome.APPLIED;
                  if (done) {
                    kept = document;
                  }
                  recorded.forEach(order -> (done ? order.send() : order.cancel()).run());
                }),
            parts.executor());
  }
}
