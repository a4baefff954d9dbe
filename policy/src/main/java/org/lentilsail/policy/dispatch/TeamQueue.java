package org.lentilsail.policy.dispatch;

import java.util.Comparator;
import java.util.TreeMap;

/** Queued requests of one team in a fair queue, with the service that the team has received. */
final class TeamQueue {
  /** Orders by the service that the teams have received in relation to their weights. */
  static final Comparator<TeamQueue> BY_SHARE =
      Comparator.<TeamQueue>comparingDouble(queue -> queue.virtualTime)
          .thenComparing(queue -> queue.team);

  final String team;

  /** Requests in order of arrival. */
  final TreeMap<Long, QueuedRequest> entries = new TreeMap<>();

  /** Slot time that the team has received, divided by its weight, in ns. */
  double virtualTime;

  /** Sum of the expected work in ns. */
  long workNanos;

  int weight;

  TeamQueue(final String team, final int weight) {
    this.team = team;
    this.weight = weight;
  }
}
