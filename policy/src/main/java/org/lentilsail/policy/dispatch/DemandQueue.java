package org.lentilsail.policy.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** The waiting demands of one service: by id, by deadline, and in lanes. */
final class DemandQueue {
  /** Demands whose expected run time is short. */
  private final Lane shortLane = new Lane();

  /** The other demands. */
  private final Lane longLane = new Lane();

  /** Demands by id. */
  private final Map<DemandId, Waiting> waiting = new HashMap<>();

  /** Demands by deadline. */
  private final TreeSet<Waiting> byDeadline = new TreeSet<>(Waiting.BY_DEADLINE);

  /** Number of the newest demand. */
  private long sequence;

  Waiting add(
      final Demand demand, final RunTimeEstimate estimate, final DispatchSettings settings) {
    final boolean isShort = estimate.boundedMeanNanos() < settings.shortNanos();
    final Waiting entry = new Waiting(demand, sequence++, isShort ? shortLane : longLane, estimate);
    entry.lane.add(entry, settings.weight(demand.team()));
    waiting.put(demand.id(), entry);
    byDeadline.add(entry);
    return entry;
  }

  void remove(final Waiting entry) {
    waiting.remove(entry.demand.id());
    byDeadline.remove(entry);
    entry.lane.remove(entry);
  }

  /** Takes a demand out because it starts. */
  void start(final Waiting entry) {
    waiting.remove(entry.demand.id());
    byDeadline.remove(entry);
    entry.lane.start(entry);
  }

  Waiting find(final DemandId id) {
    return waiting.get(id);
  }

  List<Waiting> of(final String daemon) {
    return waiting.values().stream()
        .filter(entry -> entry.demand.id().daemon().equals(daemon))
        .toList();
  }

  /** Returns a demand whose deadline has passed, or null. */
  Waiting late(final long nowNanos) {
    final boolean late =
        !byDeadline.isEmpty() && byDeadline.first().demand.deadlineNanos() - nowNanos <= 0;
    return late ? byDeadline.first() : null;
  }

  /**
   * Returns the demand that makes room when a lane is full: the team with most in it loses one. The
   * other lane loses none, since short work starts first and long work that leaves does not bring
   * it forward.
   */
  Waiting victim(final Waiting newest) {
    final Waiting victim = newest.lane.victim();
    return victim == null ? newest : victim;
  }

  /** Returns the time in ns until a demand is expected to start. */
  long expectedWait(final Waiting entry, final int capacity) {
    long work = entry.lane.workAhead(entry);
    int slots = capacity;
    if (entry.lane == longLane) {
      work += entry.demand.urgent() ? 0 : shortLane.workNanos();
      slots = capacity * Worker.LONG_SLOTS / Worker.SLOTS;
    }
    return work / Math.max(1, slots);
  }

  Lane shortLane() {
    return shortLane;
  }

  Lane longLane() {
    return longLane;
  }

  int size() {
    return waiting.size();
  }
}
