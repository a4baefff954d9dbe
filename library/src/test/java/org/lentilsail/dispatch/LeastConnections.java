package org.lentilsail.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.record.ServiceSpec;

/**
 * Baseline for comparison with the dispatcher: each daemon independently selects the worker with
 * the fewest of its own requests, and serves its queue in FIFO order.
 */
public final class LeastConnections implements SlotSource {
  /** Maximum number of concurrent requests of a worker. */
  private static final int SLOTS_PER_WORKER = 8;

  private final ConfigurationView configuration;
  private final Map<String, Integer> used = new HashMap<>();

  /** Number of the last grant by VM; breaks ties between equally used workers in turn. */
  private final Map<String, Long> lastGrants = new HashMap<>();

  private long grants;

  /** Queued requests by service. */
  private final Map<String, Queue<Waiter>> queues = new HashMap<>();

  /**
   * Creates a source.
   *
   * @param configuration the current configuration
   */
  public LeastConnections(final ConfigurationView configuration) {
    this.configuration = configuration;
    configuration.onChange(snapshot -> serveAll());
  }

  @Override
  public CompletableFuture<Slot> acquire(final SlotRequirements requirements) {
    final CompletableFuture<Slot> result = new CompletableFuture<>();
    final ConfigurationSnapshot snapshot = configuration.current();
    final ServiceSpec service = snapshot.records().services().get(requirements.service());
    if (service == null || candidates(snapshot, requirements).isEmpty()) {
      result.completeExceptionally(
          new LentilsailException(
              ErrorCode.NO_WORKER,
              "no worker of service " + requirements.service() + " is in service",
              "check the fleet of its pool"));
      return result;
    }
    final boolean queued;
    synchronized (this) {
      final Queue<Waiter> queue =
          queues.computeIfAbsent(requirements.service(), name -> new ArrayDeque<>());
      queue.removeIf(waiter -> waiter.slot().isDone());
      queued = queue.size() < service.queueLimit();
      if (queued) {
        queue.add(new Waiter(requirements, result));
      }
    }
    if (queued) {
      serve(requirements.service());
    } else {
      result.completeExceptionally(
          new LentilsailException(
              ErrorCode.OVERLOADED,
              "the queue of service " + requirements.service() + " is full",
              "repeat the request later"));
    }
    return result;
  }

  private void serveAll() {
    final List<String> services;
    synchronized (this) {
      services = List.copyOf(queues.keySet());
    }
    services.forEach(this::serve);
  }

  /** Completes futures outside the lock, because their callbacks send requests. */
  private void serve(final String service) {
    Optional<Grant> next = grant(service);
    while (next.isPresent()) {
      final Grant grant = next.get();
      if (!grant.waiter().slot().complete(grant.slot())) {
        grant.slot().release(SlotResult.CANCELLED, 0);
      }
      next = grant(service);
    }
  }

  private synchronized Optional<Grant> grant(final String service) {
    final Queue<Waiter> queue = queues.getOrDefault(service, new ArrayDeque<>());
    Optional<Grant> result = Optional.empty();
    queue.removeIf(waiter -> waiter.slot().isDone());
    if (!queue.isEmpty()) {
      final Optional<VmEntry> vm =
          candidates(configuration.current(), queue.element().requirements()).stream()
              .filter(entry -> usedSlots(entry) < limit(entry))
              .min(
                  Comparator.comparingInt(this::usedSlots)
                      .thenComparingLong(entry -> lastGrants.getOrDefault(entry.vm(), 0L))
                      .thenComparing(VmEntry::vm));
      if (vm.isPresent()) {
        used.merge(vm.get().vm(), 1, Integer::sum);
        lastGrants.put(vm.get().vm(), ++grants);
        result = Optional.of(new Grant(queue.remove(), slot(vm.get())));
      }
    }
    return result;
  }

  private static List<VmEntry> candidates(
      final ConfigurationSnapshot snapshot, final SlotRequirements requirements) {
    final ServiceSpec service = snapshot.records().services().get(requirements.service());
    final List<VmEntry> result = new ArrayList<>();
    if (service != null) {
      for (final VmEntry entry : snapshot.fleet().vms().values()) {
        if (entry.pool().equals(service.pool())
            && limit(entry) > 0
            && !requirements.excludedVms().contains(entry.vm())) {
          result.add(entry);
        }
      }
    }
    return result;
  }

  private static int limit(final VmEntry entry) {
    return switch (entry.phase()) {
      case IN_SERVICE -> SLOTS_PER_WORKER;
      case VERIFYING -> 1;
      default -> 0;
    };
  }

  private synchronized int usedSlots(final VmEntry entry) {
    return used.getOrDefault(entry.vm(), 0);
  }

  private Slot slot(final VmEntry entry) {
    final AtomicBoolean released = new AtomicBoolean();
    return new Slot() {
      @Override
      public String vm() {
        return entry.vm();
      }

      @Override
      public String address() {
        return entry.address();
      }

      @Override
      public void release(final SlotResult result, final long runMillis) {
        if (released.compareAndSet(false, true)) {
          synchronized (LeastConnections.this) {
            used.computeIfPresent(entry.vm(), (vm, count) -> count == 1 ? null : count - 1);
          }
          serveAll();
        }
      }
    };
  }

  /**
   * A queued request.
   *
   * @param requirements requirements of the request
   * @param slot completed with the slot
   */
  private record Waiter(SlotRequirements requirements, CompletableFuture<Slot> slot) {}

  /**
   * A slot granted to a queued request.
   *
   * @param waiter the request
   * @param slot the slot
   */
  private record Grant(Waiter waiter, Slot slot) {}
}
