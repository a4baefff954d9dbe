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
 * The dispatchers of the services that daemons ask this one for. All state belongs to the
 * dispatcher thread.
 */
final class LocalDispatchers {
  /** Nanoseconds in a millisecond. */
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Dispatchers by service. */
  private final Map<String, LocalDispatcher> dispatchers = new HashMap<>();

  /** The clock. */
  private final TimeSource time;

  /** Source of jitter. */
  private final Random random;

  /** Way to the asking daemons. */
  private final SlotMessageSender wire;

  /** Present configuration. */
  private ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();

  /** VMs that get no new work although the fleet document has them in service. */
  private Set<String> noticedVms = Set.of();

  LocalDispatchers(final TimeSource time, final Random random, final SlotMessageSender wire) {
    this.time = time;
    this.random = random;
    this.wire = wire;
  }

  void configure(final ConfigurationSnapshot changed, final Set<String> noticed) {
    snapshot = changed;
    noticedVms = noticed;
    dispatchers.values().removeIf(hosted -> spec(hosted.service()) == null && hosted.isIdle());
    dispatchers.values().forEach(this::configureOne);
  }

  private ServiceSpec spec(final String service) {
    return snapshot.records().services().get(service);
  }

  private void configureOne(final LocalDispatcher hosted) {
    final ServiceSpec spec = spec(hosted.service());
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
    hosted.configure(spec, workers, noticedVms, time.nanos());
  }

  private LocalDispatcher dispatcher(final String service) {
    LocalDispatcher result = dispatchers.get(service);
    if (result == null && spec(service) != null) {
      result = new LocalDispatcher(service, random, wire);
      dispatchers.put(service, result);
      configureOne(result);
    }
    return result;
  }

  void request(final String from, final SlotRequest request) {
    final LocalDispatcher hosted = dispatcher(request.service());
    if (hosted == null) {
      wire.send(
          from, new SlotRefusal(request.service(), request.number(), RefusalReason.NO_WORKER));
    } else {
      final long now = time.nanos();
      final DispatchRequest demand =
          new DispatchRequest(
              new DispatchRequestId(from, request.number()),
              request.availabilityZone(),
              request.path(),
              request.team(),
              request.urgent(),
              request.expectedMillis(),
              now + request.remainingMillis() * NANOS_PER_MILLI,
              request.excludedVms());
      hosted.dispatcher().submit(demand, now);
    }
  }

  void release(final String from, final SlotRelease release) {
    final LocalDispatcher hosted = dispatchers.get(release.service());
    if (hosted != null) {
      final long runNanos = release.runMillis() * NANOS_PER_MILLI;
      final DispatchRequestId id = new DispatchRequestId(from, release.number());
      hosted.dispatcher().release(id, release.result(), runNanos, time.nanos());
    }
  }

  void cancel(final String from, final SlotCancel cancel) {
    final LocalDispatcher hosted = dispatchers.get(cancel.service());
    if (hosted != null) {
      hosted.dispatcher().cancel(new DispatchRequestId(from, cancel.number()), time.nanos());
    }
  }

  void reconcileSlots(final String from, final SlotReport report) {
    final LocalDispatcher hosted = dispatcher(report.service());
    if (hosted != null) {
      final long now = time.nanos();
      final Set<DispatchRequestId> held = new HashSet<>();
      for (final HeldSlot slot : report.slots()) {
        final DispatchRequestId id = new DispatchRequestId(from, slot.number());
        final DispatchRequest demand =
            new DispatchRequest(id, "", slot.path(), slot.team(), false, 0, now, Set.of());
        held.add(id);
        hosted
            .dispatcher()
            .adopt(demand, slot.vm(), now - slot.heldMillis() * NANOS_PER_MILLI, now);
      }
      hosted.dispatcher().reconcile(from, held, now);
    }
  }

  void releaseDaemonSlots(final String daemon) {
    final long now = time.nanos();
    dispatchers.values().forEach(hosted -> hosted.dispatcher().releaseDaemon(daemon, now));
  }

  void tick() {
    final long now = time.nanos();
    dispatchers.values().forEach(hosted -> hosted.dispatcher().advance(now));
  }

  /** Returns the report on the services for which this daemon is the dispatcher. */
  DispatchReport report(final Predicate<String> dispatchedHere) {
    final Map<String, ServiceLoad> loads = new HashMap<>();
    final Set<String> unhealthy = new HashSet<>();
    for (final LocalDispatcher hosted : dispatchers.values()) {
      if (dispatchedHere.test(hosted.service())) {
        loads.put(hosted.service(), hosted.dispatcher().takeLoad());
        unhealthy.addAll(hosted.dispatcher().unhealthyVms());
      }
    }
    return new DispatchReport(loads, unhealthy);
  }

  Map<String, DispatchStatistics> statistics() {
    final Map<String, DispatchStatistics> result = new HashMap<>();
    dispatchers.forEach((service, hosted) -> result.put(service, hosted.dispatcher().statistics()));
    return result;
  }
}
