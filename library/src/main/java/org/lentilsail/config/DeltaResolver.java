package org.lentilsail.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilsail.platform.KeyChange;

/** Resolves the deltas of a batch to full values. Each instance is used for one batch. */
final class DeltaResolver {
  /** Last change of each key before the batch. */
  private final Map<String, KeyChange> last;

  /** Last resolved change of each key of the batch. */
  private final Map<String, KeyChange> resolved = new HashMap<>();

  DeltaResolver(final Map<String, KeyChange> last) {
    this.last = last;
  }

  /**
   * Resolves a batch.
   *
   * @param batch the batch
   * @return the changes in it that are newer, empty when the base value of a delta is missing
   */
  Optional<List<LoggedChange>> resolve(final ChangeBatch batch) {
    final List<LoggedChange> items = new ArrayList<>();
    batch.changes().forEach(change -> items.add(new LoggedChange(change, Optional.empty())));
    for (final Delta delta : batch.deltas()) {
      final KeyChange change = new KeyChange(delta.key(), Optional.empty(), delta.revision());
      items.add(new LoggedChange(change, Optional.of(delta)));
    }
    items.sort(Comparator.comparingLong(item -> item.change().revision()));
    final List<LoggedChange> result = new ArrayList<>();
    for (final LoggedChange item : items) {
      final KeyChange current = current(item.change().key());
      if (current == null || item.change().revision() > current.revision()) {
        final Optional<LoggedChange> full = resolveOne(current, item);
        if (full.isEmpty()) {
          return Optional.empty();
        }
        resolved.put(item.change().key(), full.get().change());
        result.add(full.get());
      }
    }
    return Optional.of(result);
  }

  private KeyChange current(final String key) {
    return resolved.getOrDefault(key, last.get(key));
  }

  private static Optional<LoggedChange> resolveOne(
      final KeyChange current, final LoggedChange item) {
    Optional<LoggedChange> result = Optional.of(item);
    if (item.delta().isPresent()) {
      final Delta delta = item.delta().get();
      final Optional<JsonNode> value =
          Optional.ofNullable(current)
              .filter(change -> change.revision() == delta.base())
              .flatMap(KeyChange::value)
              .flatMap(base -> JsonDelta.apply(base, delta.difference()));
      result =
          value.map(
              json ->
                  new LoggedChange(
                      new KeyChange(delta.key(), value, delta.revision()), item.delta()));
    }
    return result;
  }
}
