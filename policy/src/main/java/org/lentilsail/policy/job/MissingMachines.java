package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells whether machines have left for good. A list is read in pages and may lack a machine that is
 * there, so several lists in succession must lack it. Confined to the control thread.
 */
final class MissingMachines {
  /** Minimum time in ns from the first list that lacks a machine to the last one. */
  private static final long MIN_NANOS = 2_000_000_000L;

  /** Minimum number of lists; usually 8 are read in the time above. */
  private static final int MIN_LISTS = 5;

  private final Map<String, Absence> absences = new HashMap<>();

  /**
   * Lists in succession that lack a machine.
   *
   * @param since monotonic time in ns at which the first one was seen
   * @param lists number of the lists
   * @param lastRequestedAt monotonic time in ns at which the last one was requested
   */
  private record Absence(long since, int lists, long lastRequestedAt) {
    Absence next(final long requestedAt) {
      return requestedAt == lastRequestedAt ? this : new Absence(since, lists + 1, requestedAt);
    }

    boolean isSure() {
      return lists >= MIN_LISTS && lastRequestedAt - since >= MIN_NANOS;
    }
  }

  /** Records that the last list has a machine. */
  void found(final String machine) {
    absences.remove(machine);
  }

  /** Records that a list lacks a machine; returns whether the machine has left for good. */
  boolean hasLeft(final String machine, final long requestedAt, final long now) {
    return absences
        .merge(
            machine,
            new Absence(now, 1, requestedAt),
            (earlier, first) -> earlier.next(requestedAt))
        .isSure();
  }
}
