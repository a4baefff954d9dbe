package org.lentilsail.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.policy.dispatch.RefusalReason;
import org.lentilsail.policy.dispatch.WorkerResult;

/**
 * Requests slots from dispatchers for the requests of this daemon. All state is confined to the
 * dispatcher thread.
 */
final class SlotRequester {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Time in ns after which a slot request is sent again, because a message may be lost. */
  private static final long REPEAT_NANOS = 500 * NANOS_PER_MILLI;

  /** Interval in ns of the reports of held slots. */
  private static final long REPORT_NANOS = 1_000 * NANOS_PER_MILLI;

  private final DispatcherSelector selector;
  private final String availabilityZone;
  private final TimeSource time;
  private final Executor executor;
  private final SlotMessageSender sender;

  /** Requests without a slot, by number. */
  private final Map<Long, PendingSlotRequest> pending = new HashMap<>();

  /** Slots that this daemon holds, by number. */
  private final Map<Long, GrantedSlot> held = new HashMap<>();

  /**
   * Dispatcher by service that receives the reports of held slots, even when none is held any more.
   */
  private final Map<String, String> reportReceivers = new HashMap<>();

  private long lastNumber;
  private long reportedNanos;

  SlotRequester(
      final DispatcherSelector selector,
      final String availabilityZone,
      final TimeSource time,
      final Executor executor,
      final SlotMessageSender sender) {
    this.selector = selector;
    this.availabilityZone = availabilityZone;
    this.time = time;
    this.executor = executor;
    this.sender = sender;
    // Numbers must not repeat those of an earlier incarnation of this daemon.
    this.lastNumber = time.wallMillis() << 20;
  }

  CompletableFuture<Slot> acquire(final SlotRequirements requirements) {
    final CompletableFuture<Slot> result = new CompletableFuture<>();
    executor.execute(() -> add(requirements, result));
    return result;
  }

  private void add(final SlotRequirements requirements, final CompletableFuture<Slot> result) {
    final long number = ++lastNumber;
    final PendingSlotRequest entry = new PendingSlotRequest(requirements, result);
    pending.put(number, entry);
    sendRequest(number, entry);
    result.whenComplete(
        (slot, failure) -> {
          if (result.isCancelled()) {
            executor.execute(() -> cancel(number));
          }
        });
  }

  private void sendRequest(final long number, final PendingSlotRequest entry) {
    final SlotRequirements requirements = entry.requirements;
    entry.dispatcher = selector.dispatcher(requirements.service());
    entry.requestedNanos = time.nanos();
    final long remaining = (requirements.deadlineNanos() - time.nanos()) / NANOS_PER_MILLI;
    sender.send(
        entry.dispatcher,
        new SlotRequest(
            requirements.service(),
            number,
            availabilityZone,
            requirements.path(),
            requirements.team(),
            requirements.urgent(),
            requirements.expectedMillis(),
            remaining,
            requirements.excludedVms()));
  }

  private void cancel(final long number) {
    final PendingSlotRequest entry = pending.remove(number);
    if (entry != null) {
      sender.send(entry.dispatcher, new SlotCancel(entry.requirements.service(), number));
    }
  }

  void granted(final String from, final SlotGrant grant) {
    final PendingSlotRequest entry = pending.remove(grant.number());
    if (entry != null) {
      final GrantedSlot slot = new GrantedSlot(grant, entry.requirements, from, time.nanos(), this);
      held.put(grant.number(), slot);
      reportReceivers.putIfAbsent(grant.service(), from);
      if (!entry.dispatcher.equals(from)) {
        sender.send(entry.dispatcher, new SlotCancel(grant.service(), grant.number()));
      }
      if (!entry.result.complete(slot)) {
        slot.release(SlotResult.CANCELLED, 0);
      }
    } else if (!isHeldFrom(from, grant.number())) {
      // The request was cancelled, or another dispatcher has granted a slot first.
      sender.send(from, new SlotRelease(grant.service(), grant.number(), WorkerResult.NEUTRAL, 0));
    }
  }

  private boolean isHeldFrom(final String dispatcher, final long number) {
    final GrantedSlot slot = held.get(number);
    return slot != null && slot.dispatcher().equals(dispatcher);
  }

  void refused(final String from, final SlotRefusal refusal) {
    final PendingSlotRequest entry = pending.get(refusal.number());
    if (entry != null && entry.dispatcher.equals(from)) {
      pending.remove(refusal.number());
      entry.result.completeExceptionally(failure(entry.requirements.service(), refusal.reason()));
    }
  }

  private static LentilsailException failure(final String service, final RefusalReason reason) {
    return switch (reason) {
      case NO_WORKER ->
          new LentilsailException(
              ErrorCode.NO_WORKER,
              "service " + service + " has no worker that may take the request",
              "check the workers of the service's pool");
      case STOPPED ->
          new LentilsailException(
              ErrorCode.NO_WORKER,
              "the request to service " + service + " failed on 3 workers and is not tried again",
              "check why the request fails on every worker");
      case QUEUE_FULL ->
          new LentilsailException(
              ErrorCode.OVERLOADED,
              "the queue of service " + service + " is full",
              "repeat the request later, or raise queueLimit of the service");
      case DEADLINE ->
          new LentilsailException(
              ErrorCode.OVERLOADED,
              "service " + service + " cannot start the request before its deadline",
              "repeat the request later or with a later deadline");
    };
  }

  void release(final GrantedSlot slot, final SlotResult result, final long runMillis) {
    final WorkerResult workerResult =
        switch (result) {
          case OK -> WorkerResult.OK;
          case CANCELLED -> WorkerResult.NEUTRAL;
          case FAILED, REFUSED, CONNECTION_FAILED, TIMEOUT -> WorkerResult.FAILED;
        };
    executor.execute(() -> sendRelease(slot, workerResult, runMillis));
  }

  private void sendRelease(
      final GrantedSlot slot, final WorkerResult workerResult, final long runMillis) {
    held.remove(slot.grant().number());
    final String service = slot.grant().service();
    final SlotRelease release =
        new SlotRelease(service, slot.grant().number(), workerResult, runMillis);
    sender.send(slot.dispatcher(), release);
    final String reportReceiver = reportReceivers.getOrDefault(service, slot.dispatcher());
    if (!reportReceiver.equals(slot.dispatcher())) {
      sender.send(reportReceiver, release);
    }
  }

  /** Repeats, redirects and expires slot requests, and reports the held slots. */
  void tick() {
    final long now = time.nanos();
    if (now - reportedNanos >= REPORT_NANOS || dispatcherChanged()) {
      reportedNanos = now;
      report(now);
    }
    for (final Map.Entry<Long, PendingSlotRequest> entry : new ArrayList<>(pending.entrySet())) {
      final PendingSlotRequest request = entry.getValue();
      final String dispatcher = selector.dispatcher(request.requirements.service());
      if (request.requirements.deadlineNanos() - now <= 0) {
        cancel(entry.getKey());
        request.result.completeExceptionally(
            failure(request.requirements.service(), RefusalReason.DEADLINE));
      } else if (!request.dispatcher.equals(dispatcher)) {
        sender.send(
            request.dispatcher, new SlotCancel(request.requirements.service(), entry.getKey()));
        sendRequest(entry.getKey(), request);
      } else if (now - request.requestedNanos >= REPEAT_NANOS) {
        sendRequest(entry.getKey(), request);
      }
    }
  }

  private boolean dispatcherChanged() {
    return held.values().stream()
        .map(slot -> slot.grant().service())
        .anyMatch(service -> !selector.dispatcher(service).equals(reportReceivers.get(service)));
  }

  private void report(final long now) {
    final Map<String, List<HeldSlot>> slots = new HashMap<>();
    reportReceivers.keySet().forEach(service -> slots.put(service, new ArrayList<>()));
    held.forEach(
        (number, slot) ->
            slots
                .computeIfAbsent(slot.grant().service(), service -> new ArrayList<>())
                .add(
                    new HeldSlot(
                        number,
                        slot.vm(),
                        slot.requirements().path(),
                        slot.requirements().team(),
                        (now - slot.grantedNanos()) / NANOS_PER_MILLI)));
    slots.forEach(
        (service, list) -> {
          final String dispatcher = selector.dispatcher(service);
          reportReceivers.put(service, dispatcher);
          sender.send(dispatcher, new SlotReport(service, list));
        });
  }

  int pending() {
    return pending.size();
  }

  int held() {
    return held.size();
  }
}
