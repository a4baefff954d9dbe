package org.lentilsail.log;

import java.util.Set;

/** Kinds of log lines, each with bounds of its own, so that no kind displaces another. */
public enum LineKind {
  /** Decisions about single requests, tasks and machines; at 200 bytes a line up to 80 KB/s. */
  ORDINARY(400, 2_000, "dropped"),
  /**
   * Changes of what is believed of leaders, workers, runs and tasks. They explain later decisions,
   * and many come at once when many workers fail; at 200 bytes a line up to 200 KB/s.
   */
  BELIEF(1_000, 4_000, "droppedBeliefs");

  private static final Set<String> BELIEF_PREFIXES = Set.of("worker-", "control-", "lease-");

  private final int linesPerSecond;
  private final int maxWaiting;
  private final String droppedName;

  LineKind(final int linesPerSecond, final int maxWaiting, final String droppedName) {
    this.linesPerSecond = linesPerSecond;
    this.maxWaiting = maxWaiting;
    this.droppedName = droppedName;
  }

  /** Returns the kind of an event by its name. */
  static LineKind of(final String event) {
    return BELIEF_PREFIXES.stream().anyMatch(event::startsWith) ? BELIEF : ORDINARY;
  }

  /** Returns the rate limit in lines per second. */
  int linesPerSecond() {
    return linesPerSecond;
  }

  /** Returns the number of lines that may wait for the writer. */
  int maxWaiting() {
    return maxWaiting;
  }

  /** Returns the name under which a line states how many lines of this kind were dropped. */
  String droppedName() {
    return droppedName;
  }
}
