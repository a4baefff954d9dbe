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
 * Holds the configuration of this daemon. Batches are applied on the control thread; reads are
 * possible from every thread.
 */
public final class ConfigurationStore implements ConfigurationView, StateSource {
  /** The values; guarded by this object. */
  private final ConfigurationValues values = new ConfigurationValues();

  /** Builds snapshots; guarded by this object. */
  private final SnapshotBuilder builder;

  /** Learn of new snapshots. */
  private final List<Consumer<ConfigurationSnapshot>> listeners = new CopyOnWriteArrayList<>();

  /** The present snapshot. */
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
   * Applies a batch and tells the listeners; call it on the control thread.
   *
   * @param batch the changes
   * @return what the batch has done
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
      listeners.forEach(this::tell);
    }
    return result;
  }

  /**
   * Applies a list of all values.
   *
   * @param listing the list
   * @return what it has done
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
   * Returns what a peer lacks.
   *
   * @param after revision up to which the peer has everything
   * @return the changes since, or all values when the log does not reach back that far
   */
  public synchronized ChangeBatch changesSince(final long after) {
    return values.changesSince(after);
  }

  /**
   * Returns what a peer lacks, without differences.
   *
   * @param after revision up to which the peer has everything
   * @return the changes since, or all values when the log does not reach back that far
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

  private void tell(final Consumer<ConfigurationSnapshot> listener) {
    try {
      listener.accept(snapshot);
    } catch (final RuntimeException error) {
      Logger.error(error, "config: a listener failed");
    }
  }
}
