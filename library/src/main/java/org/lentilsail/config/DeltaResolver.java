package org.lentilsail.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilsail.platform.KeyChange;

/** Turns the differences of a batch into whole values. Used for one batch. */
final class DeltaResolver {
  /** Last change of each key before the batch. */
  private final Map<String, KeyChange> last;

  /** Last change of each key of the batch so far. */
  private final Map<String, KeyChange> resolve = new HashMap<>();

  DeltaResolver(final Map<String, KeyChange> last) {
    this.last = last;
  }

  /**
   * Reads a batch.
   *
   * @param batch the batch
   * @return what is new in it, empty when a difference is to a value that is missing
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
      final KeyChange present = present(item.change().key());
      if (present == null || item.change().revision() > present.revision()) {
        final Optional<LoggedChange> whole = whole(present, item);
        if (whole.isEmpty()) {
          return Optional.empty();
        }
        resolve.put(item.change().key(), whole.get().change());
        result.add(whole.get());
      }
    }
    return Optional.of(result);
  }

  private KeyChange present(final String key) {
    return resolve.getOrDefault(key, last.get(key));
  }

  private static Optional<LoggedChange> whole(final KeyChange present, final LoggedChange item) {
    Optional<LoggedChange> result = Optional.of(item);
    if (item.delta().isPresent()) {
      final Delta delta = item.delta().get();
      final Optional<JsonNode> value =
          Optional.ofNullable(present)
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
