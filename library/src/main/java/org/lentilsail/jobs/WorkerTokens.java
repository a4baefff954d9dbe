package org.lentilsail.jobs;

import java.util.HashMap;
import java.util.Map;

/**
 * Fencing tokens of the calls to workers: the term first, then a count that rises when the leader
 * learns that a worker has restarted under its id. The new incarnation, which has seen no token,
 * refuses calls to the earlier one once it has received a call with the raised token. Confined to
 * the control thread.
 */
final class WorkerTokens {
  /** Tokens of one worker in one term; at most so many restarts are told apart. */
  private static final int TOKENS_PER_TERM = 1_000;

  private final LeaderItems items;

  /** Counts of the workers that have restarted or were removed in this tenure. */
  private final Map<String, Integer> counts = new HashMap<>();

  WorkerTokens(final LeaderItems items) {
    this.items = items;
  }

  /** Returns the token of the calls that are sent to a worker now. */
  long current(final String worker) {
    return items.token() * TOKENS_PER_TERM + counts.getOrDefault(worker, 0);
  }

  /** Outdates all calls that have been sent to a worker. */
  void raise(final String worker) {
    counts.merge(worker, 1, (count, one) -> Math.min(count + one, TOKENS_PER_TERM - 1));
  }
}
