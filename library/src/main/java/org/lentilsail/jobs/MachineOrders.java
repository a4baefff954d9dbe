package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.lentilsail.store.StoredItem;

/**
 * Keeps in the store, before an order about a machine is sent, that the machine has one. An order
 * may be held back by a network partition and be carried out seconds later, when another daemon
 * holds control; that daemon leaves the machines with such orders alone for some time, and those
 * that were ordered a short time ago until the lease of the earlier holder is over. Owned by the
 * control thread.
 */
final class MachineOrders {
  /** Time in ns for which an order without an answer may still be carried out. */
  private static final long LATE_NANOS = 15_000_000_000L;

  /** Time in ns between records that only remove machines. */
  private static final long CLEAR_NANOS = 1_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlParts parts;
  private final HolderItems items;
  private final Set<String> underWay = new HashSet<>();
  private final Map<String, Long> blockedUntil = new HashMap<>();
  private final List<Order> waiting = new ArrayList<>();
  private final Map<String, Long> answeredAt = new HashMap<>();
  private MachineOrdersDocument kept = new MachineOrdersDocument(List.of(), List.of());
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

  MachineOrders(final ControlParts parts, final HolderItems items) {
    this.parts = parts;
    this.items = items;
  }

  /** Takes over the orders of an earlier holder. */
  void restore(final Optional<StoredItem> item, final long claimedAt) {
    item.flatMap(found -> Documents.<MachineOrdersDocument>read(Documents.MACHINE_ORDERS, found))
        .ifPresent(
            document -> {
              final long lease = leaseNanos();
              document.answered().forEach(machine -> blockedUntil.put(machine, claimedAt + lease));
              document
                  .unanswered()
                  .forEach(machine -> blockedUntil.put(machine, claimedAt + LATE_NANOS));
            });
  }

  /** Marks an order as under way; false when the machine has one already. */
  boolean begin(final String machine) {
    return !blockedUntil.containsKey(machine) && underWay.add(machine);
  }

  /** Sends an order that has begun as soon as it is recorded. */
  void send(final String machine, final Runnable send, final Runnable cancel) {
    waiting.add(new Order(machine, send, cancel));
  }

  /** Ends an order; one without an answer blocks its machine for some time. */
  void end(final String machine, final boolean answered) {
    underWay.remove(machine);
    if (answered) {
      answeredAt.put(machine, parts.time().nanos());
    } else {
      blockedUntil.put(machine, parts.time().nanos() + LATE_NANOS);
    }
  }

  /** Returns the machines that get no orders now. */
  Set<String> reserved() {
    final Set<String> reserved = new HashSet<>(underWay);
    reserved.addAll(blockedUntil.keySet());
    return reserved;
  }

  /** Returns the machines with orders that may still be carried out. */
  Set<String> blocked() {
    return Set.copyOf(blockedUntil.keySet());
  }

  void tick(final long now) {
    blockedUntil.values().removeIf(until -> now >= until);
    answeredAt.values().removeIf(at -> now - at >= leaseNanos());
    final boolean outdated = now - writtenAt >= CLEAR_NANOS && !kept.equals(document());
    if (!writing && (!waiting.isEmpty() || outdated)) {
      write(now);
    }
  }

  private MachineOrdersDocument document() {
    final Set<String> answered = new TreeSet<>(answeredAt.keySet());
    answered.removeAll(reserved());
    return new MachineOrdersDocument(List.copyOf(new TreeSet<>(reserved())), List.copyOf(answered));
  }

  private long leaseNanos() {
    return parts.bounds().machineLeaseMillis() * NANOS_PER_MILLI;
  }

  private void write(final long now) {
    writing = true;
    writtenAt = now;
    final List<Order> recorded = List.copyOf(waiting);
    waiting.clear();
    final MachineOrdersDocument document = document();
    parts
        .store()
        .commit(items.write(items.begin(), StoreKeys.MACHINE_ORDERS, Documents.write(document)))
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  writing = false;
                  final boolean done =
                      failure == null
                          && items.judge(result, List.of(StoreKeys.MACHINE_ORDERS))
                              == HolderItems.Verdict.MADE;
                  if (done) {
                    kept = document;
                  }
                  recorded.forEach(order -> (done ? order.send() : order.cancel()).run());
                }),
            parts.executor());
  }
}
