package org.lentilsail.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.lentilsail.peer.PeerMessage;
import org.lentilsail.platform.KeyChange;

/**
 * Batch of changes that is sent between daemons.
 *
 * @param full whether the batch has all values instead of the changes
 * @param from revision after which the changes begin
 * @param to revision up to which the batch reaches
 * @param changes the changes
 * @param deltas further changes, as deltas
 */
record Changes(boolean full, long from, long to, List<Item> changes, List<Delta> deltas)
    implements PeerMessage {
  /** Name of the type in frames. */
  static final String NAME = "changes";

  static Changes of(final ChangeBatch batch) {
    return new Changes(
        batch.full(),
        batch.from(),
        batch.to(),
        batch.changes().stream()
            .map(change -> new Item(change.key(), change.value().orElse(null), change.revision()))
            .toList(),
        batch.deltas());
  }

  ChangeBatch batch() {
    return new ChangeBatch(
        full,
        from,
        to,
        changes.stream()
            .map(item -> new KeyChange(item.key(), item.optionalValue(), item.revision()))
            .toList(),
        deltas == null ? List.of() : deltas);
  }

  /**
   * One change.
   *
   * @param key the key
   * @param value the value, null for a deletion
   * @param revision revision of the change
   */
  record Item(String key, JsonNode value, long revision) {
    private Optional<JsonNode> optionalValue() {
      return value == null || value.isNull() ? Optional.empty() : Optional.of(value);
    }
  }
}
