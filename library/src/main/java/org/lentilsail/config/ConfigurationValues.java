package org.lentilsail.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilsail.platform.KeyChange;

/**
 * The platform's values at one revision, with a log of the last changes. A batch is applied
 * completely or not at all, and only without a gap, so the values are always a state that the
 * platform had, and their revision never decreases. Not thread-safe.
 */
final class ConfigurationValues {
  /** Number of changes in the log for peers that are behind; more than operators make in a day. */
  static final int MAX_LOG_ENTRIES = 1_024;

  /** Prefixes of the keys that daemons use. */
  private static final List<String> PREFIXES = List.of("config/", "control/", "keys/");

  /** Prefix of the keys whose changes are sent as deltas, because their values are large. */
  private static final String DELTA_PREFIX = "control/fleet/";

  /**
   * Maximum number of deltas of one key in a batch. Each is a fraction of the full value, so a peer
   * that is missing more gets the full value.
   */
  private static final int MAX_DELTAS = 32;

  /** Last change of each key; deletions are retained as tombstones while they are in the log. */
  private final Map<String, KeyChange> lastChanges = new HashMap<>();

  /** The last changes in order of revision. */
  private final Deque<LoggedChange> log = new ArrayDeque<>();

  /** Revision of the values. */
  private long revision;

  /** Revision after which the log is complete. */
  private long logFrom;

  long revision() {
    return revision;
  }

  Map<String, KeyChange> lastChanges() {
    return lastChanges;
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
      final Optional<List<LoggedChange>> newer = new DeltaResolver(lastChanges).resolve(batch);
      newer.ifPresent(
          changes -> {
            changes.stream().filter(change -> isNewer(change.change())).forEach(this::record);
            revision = batch.to();
          });
      result = newer.isPresent() ? ApplyResult.APPLIED : ApplyResult.BASE_MISSING;
    }
    return result;
  }

  /** Returns the changes after a revision, or all values when the log does not reach back to it. */
  ChangeBatch changesSince(final long after) {
    return batchSince(after, MAX_DELTAS);
  }

  /** Returns the changes after a revision, with full values instead of deltas. */
  ChangeBatch fullValuesSince(final long after) {
    return batchSince(after, 0);
  }

  private ChangeBatch batchSince(final long after, final int maxDeltas) {
    final ChangeBatch result;
    if (after >= revision) {
      result = new ChangeBatch(false, revision, revision, List.of());
    } else if (after >= logFrom) {
      result = loggedSince(after, maxDeltas);
    } else {
      result =
          new ChangeBatch(
              true,
              0,
              revision,
              lastChanges.values().stream()
                  .filter(change -> change.value().isPresent())
                  .sorted(Comparator.comparingLong(KeyChange::revision))
                  .toList());
    }
    return result;
  }

  private ChangeBatch loggedSince(final long after, final int maxDeltas) {
    final List<KeyChange> changes = new ArrayList<>();
    final Map<String, List<Delta>> deltas = new HashMap<>();
    for (final LoggedChange entry : log) {
      final KeyChange change = entry.change();
      if (change.revision() > after && entry.delta().isPresent()) {
        deltas.computeIfAbsent(change.key(), key -> new ArrayList<>()).add(entry.delta().get());
      } else if (change.revision() > after) {
        changes.add(change);
      }
    }
    final List<Delta> sent = new ArrayList<>();
    deltas.forEach(
        (key, chain) -> {
          if (chain.size() <= maxDeltas) {
            sent.addAll(chain);
          } else {
            changes.add(lastChanges.get(key));
          }
        });
    changes.sort(Comparator.comparingLong(KeyChange::revision));
    sent.sort(Comparator.comparingLong(Delta::revision));
    return new ChangeBatch(false, after, revision, changes, sent);
  }

  private boolean isNewer(final KeyChange change) {
    final KeyChange current = lastChanges.get(change.key());
    return PREFIXES.stream().anyMatch(change.key()::startsWith)
        && change.revision() > (current == null ? 0 : current.revision());
  }

  private void record(final LoggedChange entry) {
    final KeyChange change = entry.change();
    final KeyChange before = lastChanges.put(change.key(), change);
    final Optional<Delta> delta = entry.delta().or(() -> delta(before, change));
    // The log retains deltas without the full value: 1,024 full documents would take too much
    // memory.
    log.addLast(
        delta.isEmpty()
            ? entry
            : new LoggedChange(
                new KeyChange(change.key(), Optional.empty(), change.revision()), delta));
    while (log.size() > MAX_LOG_ENTRIES) {
      final KeyChange oldest = log.removeFirst().change();
      logFrom = oldest.revision();
      if (oldest.value().isEmpty()) {
        lastChanges.remove(oldest.key(), oldest);
      }
    }
  }

  private static Optional<Delta> delta(final KeyChange before, final KeyChange change) {
    Optional<Delta> result = Optional.empty();
    if (before != null
        && change.key().startsWith(DELTA_PREFIX)
        && before.value().isPresent()
        && change.value().isPresent()) {
      result =
          JsonDelta.between(before.value().get(), change.value().get())
              .map(json -> new Delta(change.key(), before.revision(), change.revision(), json));
    }
    return result;
  }

  private void replaceAll(final ChangeBatch batch) {
    lastChanges.clear();
    log.clear();
    batch.changes().stream().filter(this::isNewer).forEach(c -> lastChanges.put(c.key(), c));
    revision = batch.to();
    logFrom = batch.to();
  }
}
