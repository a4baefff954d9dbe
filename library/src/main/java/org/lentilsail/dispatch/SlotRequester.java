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
 * Asks dispatchers for slots on behalf of this daemon's requests. All state belongs to the
 * dispatcher thread.
 */
final class SlotRequester {
  /** Nanoseconds in a millisecond. */
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Time in ns after which a demand is repeated, since a message may be lost. */
  private static final long REPEAT_NANOS = 500 * NANOS_PER_MILLI;

  /** Interval of the reports of held slots in ns. */
  private static final long REPORT_NANOS = 1_000 * NANOS_PER_MILLI;

  /** Chooses the dispatchers. */
  private final DispatcherSelector choice;

  /** Availability zone of this daemon. */
  private final String availabilityZone;

  /** The clock. */
  private final TimeSource time;

  /** The dispatcher thread. */
  private final Executor executor;

  /** Way to the dispatchers. */
  private final SlotMessageSender wire;

  /** Demands without a slot, by number. */
  private final Map<Long, PendingSlotRequest> pending = new HashMap<>();

  /** Slots that this daemon holds, by number. */
  private final Map<Long, GrantedSlot> held = new HashMap<>();

  /** Dispatchers that get the reports of held slots, also when none is left, by service. */
  private final Map<String, String> reported = new HashMap<>();

  /** Number of the last demand. */
  private long lastNumber;

  /** Monotonic time of the last reports. */
  private long reportedNanos;

  SlotRequester(
      final DispatcherSelector choice,
      final String availabilityZone,
      final TimeSource time,
      final Executor executor,
      final SlotMessageSender wire) {
    this.choice = choice;
    this.availabilityZone = availabilityZone;
    this.time = time;
    this.executor = executor;
    this.wire = wire;
    // Numbers of an earlier incarnation of this daemon must not come again.
    this.lastNumber = time.wallMillis() << 20;
  }

  CompletableFuture<Slot> acquire(final SlotRequirements demand) {
    final CompletableFuture<Slot> result = new CompletableFuture<>();
    executor.execute(() -> add(demand, result));
    return result;
  }

  private void add(final SlotRequirements demand, final CompletableFuture<Slot> result) {
    final long number = ++lastNumber;
    final PendingSlotRequest entry = new PendingSlotRequest(demand, result);
    pending.put(number, entry);
    ask(number, entry);
    result.whenComplete(
        (slot, failure) -> {
          if (result.isCancelled()) {
            executor.execute(() -> cancel(number));
          }
        });
  }

  private void ask(final long number, final PendingSlotRequest entry) {
    final SlotRequirements demand = entry.requirements;
    entry.dispatcher = choice.dispatcher(demand.service());
    entry.requestedNanos = time.nanos();
    final long remaining = (demand.deadlineNanos() - time.nanos()) / NANOS_PER_MILLI;
    wire.send(
        entry.dispatcher,
        new SlotRequest(
            demand.service(),
            number,
            availabilityZone,
            demand.path(),
            demand.team(),
            demand.urgent(),
            demand.expectedMillis(),
            remaining,
            demand.excludedVms()));
  }

  private void cancel(final long number) {
    final PendingSlotRequest entry = pending.remove(number);
    if (entry != null) {
      wire.send(entry.dispatcher, new SlotCancel(entry.requirements.service(), number));
    }
  }

  void granted(final String from, final SlotGrant grant) {
    final PendingSlotRequest entry = pending.remove(grant.number());
    if (entry != null) {
      final GrantedSlot slot = new GrantedSlot(grant, entry.requirements, from, time.nanos(), this);
      held.put(grant.number(), slot);
      reported.putIfAbsent(grant.service(), from);
      if (!entry.dispatcher.equals(from)) {
        wire.send(entry.dispatcher, new SlotCancel(grant.service(), grant.number()));
      }
      if (!entry.result.complete(slot)) {
        slot.release(SlotResult.CANCELLED, 0);
      }
    } else if (!isHeldFrom(from, grant.number())) {
      // The demand was cancelled, or another dispatcher was faster.
      wire.send(from, new SlotRelease(grant.service(), grant.number(), WorkerResult.NEUTRAL, 0));
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
              "the request to service " + service + " failed on 3 workers and is stopped",
              "check whether the request can run at all");
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
    final WorkerResult use =
        switch (result) {
          case OK -> WorkerResult.OK;
          case CANCELLED -> WorkerResult.NEUTRAL;
          case FAILED, REFUSED, CONNECTION_FAILED, TIMEOUT -> WorkerResult.FAILED;
        };
    executor.execute(() -> giveBack(slot, use, runMillis));
  }

  private void giveBack(final GrantedSlot slot, final WorkerResult use, final long runMillis) {
    held.remove(slot.grant().number());
    final String service = slot.grant().service();
    final SlotRelease release = new SlotRelease(service, slot.grant().number(), use, runMillis);
    wire.send(slot.dispatcher(), release);
    final String other = reported.getOrDefault(service, slot.dispatcher());
    if (!other.equals(slot.dispatcher())) {
      wire.send(other, release);
    }
  }

  /** Repeats, moves and ends demands, and reports the held slots. */
  void tick() {
    final long now = time.nanos();
    if (now - reportedNanos >= REPORT_NANOS || dispatcherChanged()) {
      reportedNanos = now;
      report(now);
    }
    for (final Map.Entry<Long, PendingSlotRequest> entry : new ArrayList<>(pending.entrySet())) {
      final PendingSlotRequest demand = entry.getValue();
      final String present = choice.dispatcher(demand.requirements.service());
      if (demand.requirements.deadlineNanos() - now <= 0) {
        cancel(entry.getKey());
        demand.result.completeExceptionally(
            failure(demand.requirements.service(), RefusalReason.DEADLINE));
      } else if (!demand.dispatcher.equals(present)) {
        wire.send(demand.dispatcher, new SlotCancel(demand.requirements.service(), entry.getKey()));
        ask(entry.getKey(), demand);
      } else if (now - demand.requestedNanos >= REPEAT_NANOS) {
        ask(entry.getKey(), demand);
      }
    }
  }

  private boolean dispatcherChanged() {
    return held.values().stream()
        .map(slot -> slot.grant().service())
        .anyMatch(service -> !choice.dispatcher(service).equals(reported.get(service)));
  }

  private void report(final long now) {
    final Map<String, List<HeldSlot>> slots = new HashMap<>();
    reported.keySet().forEach(service -> slots.put(service, new ArrayList<>()));
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
          final String dispatcher = choice.dispatcher(service);
          reported.put(service, dispatcher);
          wire.send(dispatcher, new SlotReport(service, list));
        });
  }

  int pending() {
    return pending.size();
  }

  int held() {
    return held.size();
  }
}
