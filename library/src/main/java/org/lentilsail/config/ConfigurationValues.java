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
 * The platform's values as they were at one revision, with the last changes. Batches are applied
 * only whole and only without a gap, so the values always are a state that the platform had, and
 * they never go back. Not thread-safe.
 */
final class ConfigurationValues {
  /** Number of changes kept for peers that are behind; more than a day of changes by operators. */
  static final int MAX_LOG_ENTRIES = 1_024;

  /** Start of the keys that matter to daemons. */
  private static final List<String> PREFIXES = List.of("config/", "control/", "keys/");

  /** Start of the keys whose changes travel as differences, because their values are large. */
  private static final String DELTA_PREFIX = "control/fleet/";

  /**
   * Most differences of one key in a batch. Each is a fraction of the whole value, so a peer that
   * lacks more gets the whole value.
   */
  private static final int MAX_DELTAS = 32;

  /** Last change of each key; deletions stay as tombstones while the log reaches back to them. */
  private final Map<String, KeyChange> lastChanges = new HashMap<>();

  /** The last changes in order of revision. */
  private final Deque<LoggedChange> log = new ArrayDeque<>();

  /** Revision up to which the values reach. */
  private long revision;

  /** Revision after which the log has all changes. */
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
      final Optional<List<LoggedChange>> news = new DeltaResolver(lastChanges).resolve(batch);
      news.ifPresent(
          changes -> {
            changes.stream().filter(change -> isNews(change.change())).forEach(this::record);
            revision = batch.to();
          });
      result = news.isPresent() ? ApplyResult.APPLIED : ApplyResult.BASE_MISSING;
    }
    return result;
  }

  /** Returns what a peer lacks that has everything up to a revision. */
  ChangeBatch changesSince(final long after) {
    return batchSince(after, MAX_DELTAS);
  }

  /** Returns what a peer lacks that has everything up to a revision, without differences. */
  ChangeBatch fullValuesSince(final long after) {
    return batchSince(after, 0);
  }

  private ChangeBatch batchSince(final long after, final int maxDeltas) {
    final ChangeBatch result;
    if (after >= revision) {
      result = new ChangeBatch(false, revision, revision, List.of());
    } else if (after >= logFrom) {
      result = logged(after, maxDeltas);
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

  private ChangeBatch logged(final long after, final int maxDeltas) {
    final List<KeyChange> changes = new ArrayList<>();
    final Map<String, List<Delta>> deltas = new HashMap<>();
    for (final LoggedChange logged : log) {
      final KeyChange change = logged.change();
      if (change.revision() > after && logged.delta().isPresent()) {
        deltas.computeIfAbsent(change.key(), key -> new ArrayList<>()).add(logged.delta().get());
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

  private boolean isNews(final KeyChange change) {
    final KeyChange present = lastChanges.get(change.key());
    return PREFIXES.stream().anyMatch(change.key()::startsWith)
        && change.revision() > (present == null ? 0 : present.revision());
  }

  private void record(final LoggedChange news) {
    final KeyChange change = news.change();
    final KeyChange before = lastChanges.put(change.key(), change);
    final Optional<Delta> delta = news.delta().or(() -> delta(before, change));
    // The log keeps a difference without the whole value: 1,024 documents would fill the memory.
    log.addLast(
        delta.isEmpty()
            ? news
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
    batch.changes().stream().filter(this::isNews).forEach(c -> lastChanges.put(c.key(), c));
    revision = batch.to();
    logFrom = batch.to();
  }
}
