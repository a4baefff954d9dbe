package org.lentilsail.policy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Queued requests of one class of work. Urgent requests start first; the others share the slots by
 * weighted fair queueing between teams.
 */
final class FairQueue {
  /** Number of teams above which those with empty queues are removed. */
  private static final int MAX_IDLE_TEAMS = 1_024;

  /** Urgent requests in order of arrival. */
  private final TreeMap<Long, QueuedRequest> urgent = new TreeMap<>();

  private final Map<String, TeamQueue> teams = new HashMap<>();

  /** Queues with requests; the team that has received the least service is first. */
  private final TreeSet<TeamQueue> active = new TreeSet<>(TeamQueue.BY_SHARE);

  /**
   * Virtual time of the team that was served last; a team whose queue was empty resumes from here.
   */
  private double virtualTime;

  /** Sum of the weights of the active teams. */
  private int activeWeight;

  /** Expected work of the urgent requests in ns. */
  private long urgentNanos;

  /** Expected work of the other requests in ns. */
  private long teamNanos;

  private int size;

  void add(final QueuedRequest queued, final int weight) {
    if (queued.request.urgent()) {
      urgent.put(queued.sequence, queued);
      urgentNanos += queued.workNanos;
    } else {
      final TeamQueue queue = queue(queued.request.team(), weight);
      if (queue.entries.isEmpty()) {
        queue.weight = weight;
        queue.virtualTime = Math.max(queue.virtualTime, virtualTime);
        active.add(queue);
        activeWeight += weight;
      }
      queue.entries.put(queued.sequence, queued);
      queue.workNanos += queued.workNanos;
      teamNanos += queued.workNanos;
    }
    size++;
  }

  private TeamQueue queue(final String team, final int weight) {
    if (teams.size() > MAX_IDLE_TEAMS) {
      teams.values().removeIf(queue -> queue.entries.isEmpty());
    }
    return teams.computeIfAbsent(team, name -> new TeamQueue(name, weight));
  }

  boolean remove(final QueuedRequest queued) {
    final TreeMap<Long, QueuedRequest> entries =
        queued.request.urgent() ? urgent : teams.get(queued.request.team()).entries;
    final boolean removed = entries.remove(queued.sequence) != null;
    if (removed) {
      size--;
      if (queued.request.urgent()) {
        urgentNanos -= queued.workNanos;
      } else {
        updateTeamAfterRemoval(teams.get(queued.request.team()), queued);
      }
    }
    return removed;
  }

  private void updateTeamAfterRemoval(final TeamQueue queue, final QueuedRequest queued) {
    queue.workNanos -= queued.workNanos;
    teamNanos -= queued.workNanos;
    if (queue.entries.isEmpty()) {
      active.remove(queue);
      activeWeight -= queue.weight;
    }
  }

  /** Removes a request that starts and charges its team with the expected run time. */
  void start(final QueuedRequest queued) {
    final TeamQueue queue = teams.get(queued.request.team());
    remove(queued);
    if (!queued.request.urgent()) {
      virtualTime = Math.max(virtualTime, queue.virtualTime);
    }
    charge(queued.request.team(), queued.expectedNanos);
  }

  /** Adds slot time in ns to the virtual time of a team; corrections may be negative. */
  void charge(final String team, final long nanos) {
    final TeamQueue queue = teams.get(team);
    if (queue != null) {
      final boolean isActive = active.remove(queue);
      queue.virtualTime += (double) nanos / queue.weight;
      if (isActive) {
        active.add(queue);
      }
    }
  }

  /**
   * Returns the requests to try next, in order. There are several because a request may exclude the
   * free workers.
   */
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

  /** Returns the work in ns that is expected to start before a queued request. */
  long workAhead(final QueuedRequest queued) {
    long result = urgentNanos;
    if (!queued.request.urgent()) {
      final TeamQueue queue = teams.get(queued.request.team());
      final double share = (double) activeWeight / queue.weight;
      result += Math.min(teamNanos, (long) (queue.workNanos * share));
    }
    return Math.max(0, result - queued.workNanos);
  }

  /**
   * Returns the newest request of the team with the most queued requests in relation to its weight,
   * or null without such a team.
   */
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
