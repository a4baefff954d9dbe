package org.lentilsail.policy.dispatch;

import java.util.Comparator;
import java.util.TreeMap;

/** The demands of one team in one lane, with the team's share of the service. */
final class TeamQueue {
  /** Orders by the service that the teams have had in relation to their weights. */
  static final Comparator<TeamQueue> BY_SHARE =
      Comparator.<TeamQueue>comparingDouble(queue -> queue.virtualTime)
          .thenComparing(queue -> queue.team);

  /** The team. */
  final String team;

  /** Demands by order of arrival. */
  final TreeMap<Long, QueuedRequest> entries = new TreeMap<>();

  /** Slot time that the team has had, divided by its weight, in ns. */
  double virtualTime;

  /** Sum of the expected work in ns. */
  long workNanos;

  /** Weight of the team. */
  int weight;

  TeamQueue(final String team, final int weight) {
    this.team = team;
    this.weight = weight;
  }
}
