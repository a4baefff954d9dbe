package org.lentilsail.policy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The waiting demands of one class of work: urgent ones first, then weighted fair shares. */
final class FairQueue {
  /** Most teams whose shares are remembered after their queues have emptied. */
  private static final int MAX_IDLE_TEAMS = 1_024;

  /** Urgent demands by order of arrival. */
  private final TreeMap<Long, QueuedRequest> urgent = new TreeMap<>();

  /** Queues by team. */
  private final Map<String, TeamQueue> teams = new HashMap<>();

  /** Queues with demands, the team that has had least first. */
  private final TreeSet<TeamQueue> active = new TreeSet<>(TeamQueue.BY_SHARE);

  /** Virtual time of the team that was served last; a team that comes back starts here. */
  private double virtualTime;

  /** Sum of the weights of the active teams. */
  private int activeWeight;

  /** Expected work of the urgent demands in ns. */
  private long urgentNanos;

  /** Expected work of the other demands in ns. */
  private long teamNanos;

  /** Number of waiting demands. */
  private int size;

  void add(final QueuedRequest waiting, final int weight) {
    if (waiting.request.urgent()) {
      urgent.put(waiting.sequence, waiting);
      urgentNanos += waiting.workNanos;
    } else {
      final TeamQueue queue = queue(waiting.request.team(), weight);
      if (queue.entries.isEmpty()) {
        queue.weight = weight;
        queue.virtualTime = Math.max(queue.virtualTime, virtualTime);
        active.add(queue);
        activeWeight += weight;
      }
      queue.entries.put(waiting.sequence, waiting);
      queue.workNanos += waiting.workNanos;
      teamNanos += waiting.workNanos;
    }
    size++;
  }

  private TeamQueue queue(final String team, final int weight) {
    if (teams.size() > MAX_IDLE_TEAMS) {
      teams.values().removeIf(queue -> queue.entries.isEmpty());
    }
    return teams.computeIfAbsent(team, name -> new TeamQueue(name, weight));
  }

  boolean remove(final QueuedRequest waiting) {
    final TreeMap<Long, QueuedRequest> entries =
        waiting.request.urgent() ? urgent : teams.get(waiting.request.team()).entries;
    final boolean removed = entries.remove(waiting.sequence) != null;
    if (removed) {
      size--;
      if (waiting.request.urgent()) {
        urgentNanos -= waiting.workNanos;
      } else {
        removedFrom(teams.get(waiting.request.team()), waiting);
      }
    }
    return removed;
  }

  private void removedFrom(final TeamQueue queue, final QueuedRequest waiting) {
    queue.workNanos -= waiting.workNanos;
    teamNanos -= waiting.workNanos;
    if (queue.entries.isEmpty()) {
      active.remove(queue);
      activeWeight -= queue.weight;
    }
  }

  /** Takes a demand out to start it and charges its team with the expected run time. */
  void start(final QueuedRequest waiting) {
    final TeamQueue queue = teams.get(waiting.request.team());
    remove(waiting);
    if (!waiting.request.urgent()) {
      virtualTime = Math.max(virtualTime, queue.virtualTime);
    }
    charge(waiting.request.team(), waiting.expectedNanos);
  }

  /** Adds slot time to a team's share; corrections may be negative. */
  void charge(final String team, final long nanos) {
    final TeamQueue queue = teams.get(team);
    if (queue != null) {
      final boolean waits = active.remove(queue);
      queue.virtualTime += (double) nanos / queue.weight;
      if (waits) {
        active.add(queue);
      }
    }
  }

  /** Returns the demands to try next, in order; several, as a demand may exclude free workers. */
  List<QueuedRequest> candidates(final boolean urgentOnly, final int limit) {
    final List<QueuedRequest> result = new ArrayList<>(limit);
    final Iterator<QueuedRequest> first = urgent.values().iterator();
    while (result.size() < limit && first.hasNext()) {
      result.add(first.next());
    }
    final Iterator<TeamQueue> next = active.iterator();
    while (!urgentOnly && result.size() < limit && next.hasNext()) {
      result.add(next.next().entries.firstEntry().getValue());
    }
    return result;
  }

  /** Returns the work in ns that is expected to go before a waiting demand. */
  long workAhead(final QueuedRequest waiting) {
    long result = urgentNanos;
    if (!waiting.request.urgent()) {
      final TeamQueue queue = teams.get(waiting.request.team());
      final double share = (double) activeWeight / queue.weight;
      result += Math.min(teamNanos, (long) (queue.workNanos * share));
    }
    return Math.max(0, result - waiting.workNanos);
  }

  /** Returns the newest demand of the team that waits with most in relation to its weight. */
  QueuedRequest victim() {
    TeamQueue longest = null;
    for (final TeamQueue queue : active) {
      if (longest == null
          || queue.entries.size() * (long) longest.weight
              > longest.entries.size() * (long) queue.weight) {
        longest = queue;
      }
    }
    return longest == null ? null : longest.entries.lastEntry().getValue();
  }

  long workNanos() {
    return urgentNanos + teamNanos;
  }

  int size() {
    return size;
  }
}
