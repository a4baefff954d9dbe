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

/** The dispatcher of one service; sends grants and refusals to the requesting daemons. */
final class LocalDispatcher implements DispatchListener {
  private final String service;
  private final SlotMessageSender sender;
  private final ServiceDispatcher dispatcher;

  /** Workers by VM in the last configuration. */
  private Map<String, VmEntry> workers = Map.of();

  LocalDispatcher(final String service, final Random random, final SlotMessageSender sender) {
    this.service = service;
    this.sender = sender;
    this.dispatcher = new ServiceDispatcher(new DispatchSettings(200, 256, Map.of()), random, this);
  }

  void configure(
      final ServiceSpec spec,
      final Map<String, VmEntry> configured,
      final Set<String> noticedVms,
      final long nowNanos) {
    if (spec != null) {
      dispatcher.configure(
          new DispatchSettings(spec.shortMillis(), spec.queueLimit(), spec.teams()));
    }
    workers.forEach(
        (vm, entry) -> {
          final VmEntry current = configured.get(vm);
          // Run times and failures observed before a reboot do not apply after it.
          if (current == null || current.bootGeneration() != entry.bootGeneration()) {
            dispatcher.removeWorker(vm, nowNanos);
          }
        });
    workers = Map.copyOf(configured);
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
    sender.send(id.daemon(), new SlotGrant(service, id.number(), vm, address));
  }

  @Override
  public void refused(final DispatchRequestId id, final RefusalReason reason) {
    sender.send(id.daemon(), new SlotRefusal(service, id.number(), reason));
  }

  boolean isIdle() {
    final DispatchStatistics statistics = dispatcher.statistics();
    return statistics.busySlots() + statistics.waitingShort() + statistics.waitingLong() == 0;
  }

  String service() {
    return service;
  }

  ServiceDispatcher dispatcher() {
    return dispatcher;
  }
}
