package org.lentilsail.config;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.platform.Change;

/**
 * The platform's values as they were at one revision, with the last changes. Batches are applied
 * only whole and only without a gap, so the values always are a state that the platform had, and
 * they never go back. Not thread-safe.
 */
final class ConfigurationValues {
  /** Number of changes kept for peers that are behind; more than a day of changes by operators. */
  static final int LOG_SIZE = 1_024;

  /** Start of the keys that matter to daemons. */
  private static final List<String> PREFIXES = List.of("config/", "control/", "keys/");

  /** Last change of each key; deletions stay as tombstones while the log reaches back to them. */
  private final Map<String, Change> last = new HashMap<>();

  /** The last changes in order of revision. */
  private final Deque<Change> log = new ArrayDeque<>();

  /** Revision up to which the values reach. */
  private long revision;

  /** Revision after which the log has all changes. */
  private long logFrom;

  long revision() {
    return revision;
  }

  Map<String, Change> last() {
    return last;
  }

  int logSize() {
    return log.size();
  }

  ApplyResult apply(final ChangeBatch batch) {
    final ApplyResult result;
    if (batch.to() <= revision) {
      result = ApplyResult.STALE;
    } else if (batch.full()) {
      replaceAll(batch);
      result = ApplyResult.APPLIED;
    } else if (batch.from() > revision) {
      result = ApplyResult.GAP;
    } else {
      batch.changes().stream().filter(this::isNews).forEach(this::record);
      revision = batch.to();
      result = ApplyResult.APPLIED;
    }
    return result;
  }

  /** Returns what a peer lacks that has everything up to a revision. */
  ChangeBatch since(final long after) {
    final ChangeBatch result;
    if (after >= revision) {
      result = new ChangeBatch(false, revision, revision, List.of());
    } else if (after >= logFrom) {
      result =
          new ChangeBatch(
              false,
              after,
              revision,
              log.stream().filter(change -> change.revision() > after).toList());
    } else {
      result =
          new ChangeBatch(
              true,
              0,
              revision,
              last.values().stream()
                  .filter(change -> change.value().isPresent())
                  .sorted(Comparator.comparingLong(Change::revision))
                  .toList());
    }
    return result;
  }

  private boolean isNews(final Change change) {
    final Change present = last.get(change.key());
    return PREFIXES.stream().anyMatch(change.key()::startsWith)
        && change.revision() > (present == null ? 0 : present.revision());
  }

  private void record(final Change change) {
    last.put(change.key(), change);
    log.addLast(change);
    while (log.size() > LOG_SIZE) {
      final Change oldest = log.removeFirst();
      logFrom = oldest.revision();
      if (oldest.value().isEmpty()) {
        last.remove(oldest.key(), oldest);
      }
    }
  }

  private void replaceAll(final ChangeBatch batch) {
    last.clear();
    log.clear();
    batch.changes().stream().filter(this::isNews).forEach(c -> last.put(c.key(), c));
    revision = batch.to();
    logFrom = batch.to();
  }
}
