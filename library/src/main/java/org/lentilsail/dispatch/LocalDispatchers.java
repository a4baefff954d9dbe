package org.lentilsail.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.model.fleet.ServiceLoad;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.policy.dispatch.DispatchRequest;
import org.lentilsail.policy.dispatch.DispatchRequestId;
import org.lentilsail.policy.dispatch.DispatchStatistics;
import org.lentilsail.policy.dispatch.RefusalReason;

/**
 * The dispatchers that run on this daemon, one for each service for which it received a request.
 * All state is confined to the dispatcher thread.
 */
final class LocalDispatchers {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<String, LocalDispatcher> dispatchers = new HashMap<>();
  private final TimeSource time;
  private final Random random;
  private final SlotMessageSender sender;
  private ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();

  /** VMs that get no new work although they are in service in the fleet document. */
  private Set<String> noticedVms = Set.of();

  LocalDispatchers(final TimeSource time, final Random random, final SlotMessageSender sender) {
    this.time = time;
    this.random = random;
    this.sender = sender;
  }

  void configure(final ConfigurationSnapshot changed, final Set<String> noticed) {
    snapshot = changed;
    noticedVms = noticed;
    dispatchers.values().removeIf(local -> spec(local.service()) == null && local.isIdle());
    dispatchers.values().forEach(this::configureOne);
  }

  private ServiceSpec spec(final String service) {
    return snapshot.records().services().get(service);
  }

  private void configureOne(final LocalDispatcher local) {
    final ServiceSpec spec = spec(local.service());
    final Map<String, VmEntry> workers = new HashMap<>();
    if (spec != null) {
      for (final VmEntry vm : snapshot.fleet().vms().values()) {
        final boolean usable =
            vm.phase() == VmPhase.IN_SERVICE
                || vm.phase() == VmPhase.VERIFYING
                || vm.phase() == VmPhase.DRAINING;
        if (usable && vm.pool().equals(spec.pool())) {
          workers.put(vm.vm(), vm);
        }
      }
    }
    local.configure(spec, workers, noticedVms, time.nanos());
  }

  private LocalDispatcher dispatcher(final String service) {
    LocalDispatcher result = dispatchers.get(service);
    if (result == null && spec(service) != null) {
      result = new LocalDispatcher(service, random, sender);
      dispatchers.put(service, result);
      configureOne(result);
    }
    return result;
  }

  void request(final String from, final SlotRequest request) {
    final LocalDispatcher local = dispatcher(request.service());
    if (local == null) {
      sender.send(
          from, new SlotRefusal(request.service(), request.number(), RefusalReason.NO_WORKER));
    } else {
      final long now = time.nanos();
      final DispatchRequest dispatchRequest =
          new DispatchRequest(
              new DispatchRequestId(from, request.number()),
              request.availabilityZone(),
              request.path(),
              request.team(),
              request.urgent(),
              request.expectedMillis(),
              now + request.remainingMillis() * NANOS_PER_MILLI,
              request.excludedVms());
      local.dispatcher().submit(dispatchRequest, now);
    }
  }

  void release(final String from, final SlotRelease release) {
    final LocalDispatcher local = dispatchers.get(release.service());
    if (local != null) {
      final long runNanos = release.runMillis() * NANOS_PER_MILLI;
      final DispatchRequestId id = new DispatchRequestId(from, release.number());
      local.dispatcher().release(id, release.result(), runNanos, time.nanos());
    }
  }

  void cancel(final String from, final SlotCancel cancel) {
    final LocalDispatcher local = dispatchers.get(cancel.service());
    if (local != null) {
      local.dispatcher().cancel(new DispatchRequestId(from, cancel.number()), time.nanos());
    }
  }

  void reconcileSlots(final String from, final SlotReport report) {
    final LocalDispatcher local = dispatcher(report.service());
    if (local != null) {
      final long now = time.nanos();
      final Set<DispatchRequestId> held = new HashSet<>();
      for (final HeldSlot slot : report.slots()) {
        final DispatchRequestId id = new DispatchRequestId(from, slot.number());
        final DispatchRequest dispatchRequest =
            new DispatchRequest(id, "", slot.path(), slot.team(), false, 0, now, Set.of());
        held.add(id);
        local
            .dispatcher()
            .adopt(dispatchRequest, slot.vm(), now - slot.heldMillis() * NANOS_PER_MILLI, now);
      }
      local.dispatcher().reconcile(from, held, now);
    }
  }

  void releaseDaemonSlots(final String daemon) {
    final long now = time.nanos();
    dispatchers.values().forEach(local -> local.dispatcher().releaseDaemon(daemon, now));
  }

  void tick() {
    final long now = time.nanos();
    dispatchers.values().forEach(local -> local.dispatcher().advance(now));
  }

  /** Returns the report on the services for which this daemon is the selected dispatcher. */
  DispatchReport report(final Predicate<String> isDispatchedHere) {
    final Map<String, ServiceLoad> loads = new HashMap<>();
    final Set<String> unhealthy = new HashSet<>();
    for (final LocalDispatcher local : dispatchers.values()) {
      if (isDispatchedHere.test(local.service())) {
        loads.put(local.service(), local.dispatcher().takeLoad());
        unhealthy.addAll(local.dispatcher().unhealthyVms());
      }
    }
    return new DispatchReport(loads, unhealthy);
  }

  Map<String, DispatchStatistics> statistics() {
    final Map<String, DispatchStatistics> result = new HashMap<>();
    dispatchers.forEach((service, local) -> result.put(service, local.dispatcher().statistics()));
    return result;
  }
}
