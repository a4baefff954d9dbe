package org.lentilsail.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.lentilsail.admin.StateSource;
import org.lentilsail.platform.KeyChange;
import org.lentilsail.platform.Listing;
import org.tinylog.Logger;

/**
 * Holds the configuration of this daemon. Batches are applied on the control thread; it can be read
 * from any thread.
 */
public final class ConfigurationStore implements ConfigurationView, StateSource {
  /** The values; guarded by this object. */
  private final ConfigurationValues values = new ConfigurationValues();

  /** Builds snapshots; guarded by this object. */
  private final SnapshotBuilder builder;

  /** Called with each new snapshot. */
  private final List<Consumer<ConfigurationSnapshot>> listeners = new CopyOnWriteArrayList<>();

  private volatile ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();

  /**
   * Creates an empty store.
   *
   * @param region region whose fleet document is used
   */
  public ConfigurationStore(final String region) {
    this.builder = new SnapshotBuilder(region);
  }

  @Override
  public ConfigurationSnapshot current() {
    return snapshot;
  }

  @Override
  public void onChange(final Consumer<ConfigurationSnapshot> listener) {
    listeners.add(listener);
  }

  /**
   * Applies a batch and notifies the listeners; call it on the control thread.
   *
   * @param batch the changes
   * @return the result
   */
  public ApplyResult apply(final ChangeBatch batch) {
    final ApplyResult result;
    synchronized (this) {
      result = values.apply(batch);
      if (result == ApplyResult.APPLIED) {
        snapshot = builder.build(values.revision(), values.lastChanges());
      }
    }
    if (result == ApplyResult.APPLIED) {
      listeners.forEach(this::notifyListener);
    }
    return result;
  }

  /**
   * Applies a list of all values.
   *
   * @param listing the list
   * @return the result
   */
  public ApplyResult apply(final Listing listing) {
    return apply(
        new ChangeBatch(
            true,
            0,
            listing.revision(),
            listing.values().stream()
                .map(v -> new KeyChange(v.key(), Optional.of(v.value()), v.revision()))
                .toList()));
  }

  /**
   * Returns the changes that a peer is missing.
   *
   * @param after revision up to which the peer has all changes
   * @return the changes after this revision, or all values when the log does not reach back to it
   */
  public synchronized ChangeBatch changesSince(final long after) {
    return values.changesSince(after);
  }

  /**
   * Returns the changes that a peer is missing, with full values instead of deltas.
   *
   * @param after revision up to which the peer has all changes
   * @return the changes after this revision, or all values when the log does not reach back to it
   */
  public synchronized ChangeBatch fullValuesSince(final long after) {
    return values.fullValuesSince(after);
  }

  @Override
  public String stateName() {
    return "configuration";
  }

  @Override
  public synchronized JsonNode state() {
    final ObjectNode result = JsonNodeFactory.instance.objectNode();
    result.put("revision", values.revision()).put("fleetRevision", snapshot.fleetRevision());
    result.put("logSize", values.logSize());
    final ObjectNode revisions = result.putObject("revisions");
    values.lastChanges().forEach((key, change) -> revisions.put(key, change.revision()));
    final ObjectNode unreadable = result.putObject("unreadable");
    builder.unreadable().forEach(unreadable::put);
    return result;
  }

  private void notifyListener(final Consumer<ConfigurationSnapshot> listener) {
    try {
      listener.accept(snapshot);
    } catch (final RuntimeException error) {
      Logger.error(error, "config: a listener failed");
    }
  }
}
