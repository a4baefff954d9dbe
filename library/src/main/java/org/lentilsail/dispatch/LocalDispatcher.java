package org.lentilsail.dispatch;

import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.policy.dispatch.DispatchListener;
import org.lentilsail.policy.dispatch.DispatchRequestId;
import org.lentilsail.policy.dispatch.DispatchSettings;
import org.lentilsail.policy.dispatch.DispatchStatistics;
import org.lentilsail.policy.dispatch.RefusalReason;
import org.lentilsail.policy.dispatch.ServiceDispatcher;
import org.lentilsail.policy.dispatch.WorkerMode;

/** The dispatcher of one service with the way back to the daemons that ask. */
final class LocalDispatcher implements DispatchListener {
  /** Name of the service. */
  private final String service;

  /** Way to the asking daemons. */
  private final SlotMessageSender wire;

  /** Makes the decisions. */
  private final ServiceDispatcher dispatcher;

  /** Workers by VM as configured last. */
  private Map<String, VmEntry> workers = Map.of();

  LocalDispatcher(final String service, final Random random, final SlotMessageSender wire) {
    this.service = service;
    this.wire = wire;
    this.dispatcher = new ServiceDispatcher(new DispatchSettings(200, 256, Map.of()), random, this);
  }

  void configure(
      final ServiceSpec spec,
      final Map<String, VmEntry> present,
      final Set<String> noticedVms,
      final long nowNanos) {
    if (spec != null) {
      dispatcher.configure(
          new DispatchSettings(spec.shortMillis(), spec.queueLimit(), spec.teams()));
    }
    workers.forEach(
        (vm, entry) -> {
          final VmEntry now = present.get(vm);
          // What was learned about a VM does not hold after a boot.
          if (now == null || now.bootGeneration() != entry.bootGeneration()) {
            dispatcher.removeWorker(vm, nowNanos);
          }
        });
    workers = Map.copyOf(present);
    workers.forEach(
        (vm, entry) ->
            dispatcher.putWorker(vm, entry.availabilityZone(), mode(entry, noticedVms), nowNanos));
  }

  private static WorkerMode mode(final VmEntry entry, final Set<String> noticedVms) {
    WorkerMode mode = WorkerMode.OPEN;
    if (entry.phase() == VmPhase.DRAINING || noticedVms.contains(entry.vm())) {
      mode = WorkerMode.DRAINING;
    } else if (entry.phase() == VmPhase.VERIFYING) {
      mode = WorkerMode.VERIFYING;
    }
    return mode;
  }

  @Override
  public void granted(final DispatchRequestId id, final String vm) {
    final VmEntry worker = workers.get(vm);
    final String address = worker == null ? "" : worker.address();
    wire.send(id.daemon(), new SlotGrant(service, id.number(), vm, address));
  }

  @Override
  public void refused(final DispatchRequestId id, final RefusalReason reason) {
    wire.send(id.daemon(), new SlotRefusal(service, id.number(), reason));
  }

  boolean isIdle() {
    final DispatchStatistics figures = dispatcher.statistics();
    return figures.busySlots() + figures.waitingShort() + figures.waitingLong() == 0;
  }

  String service() {
    return service;
  }

  ServiceDispatcher dispatcher() {
    return dispatcher;
  }
}
