package org.lentilsail.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.platform.KeyChange;
import org.lentilsail.platform.Listing;
import org.lentilsail.platform.VersionedValue;
import org.lentilsail.platform.WatchResult;
import org.lentilsail.platform.WriteResult;

/**
 * Stores keys with conditional writes, a single revision counter and leases. Keys of expired leases
 * are deleted before each operation. Thread-safe.
 */
public final class KeyValueStore {
  /** Number of changes that are retained for watches. */
  private final int changeLog;

  private final LeaseTable leases;

  private final TreeMap<String, VersionedValue> values = new TreeMap<>();

  /** Retained changes in order of revision. */
  private final Deque<KeyChange> log = new ArrayDeque<>();

  /** Revision of the last change. */
  private long revision;

  /** Revision of the last change that is no longer retained. */
  private long compactedRevision;

  /**
   * Creates an empty store.
   *
   * @param time clock for the expiry of leases
   * @param changeLog number of changes that are retained for watches
   */
  public KeyValueStore(final TimeSource time, final int changeLog) {
    this.leases = new LeaseTable(time);
    this.changeLog = changeLog;
  }

  /**
   * Reads a key.
   *
   * @param key the key
   * @return its value, empty when it does not exist
   */
  public synchronized Optional<VersionedValue> get(final String key) {
    expire();
    return Optional.ofNullable(values.get(key));
  }

  /**
   * Reads all keys with a prefix.
   *
   * @param prefix prefix of the keys
   * @return the keys in order
   */
  public synchronized Listing list(final String prefix) {
    expire();
    final List<VersionedValue> found =
        values.tailMap(prefix).values().stream()
            .takeWhile(value -> value.key().startsWith(prefix))
            .toList();
    return new Listing(found, revision);
  }

  /**
   * Writes a key if its revision is the expected one.
   *
   * @param key the key
   * @param expectedRevision revision that the key must have, 0 if it must not exist
   * @param value the value
   * @param lease lease to which the key belongs from now on, empty for none
   * @return the new revision, or the current value after a conflict
   */
  public synchronized WriteResult put(
      final String key,
      final long expectedRevision,
      final JsonNode value,
      final Optional<String> lease) {
    expire();
    if (lease.isPresent() && !leases.exists(lease.get())) {
      throw new LentilsailException(
          ErrorCode.NOT_FOUND, "lease " + lease.get() + " has expired", "grant a new lease");
    }
    final WriteResult result;
    if (revisionOf(key) == expectedRevision) {
      revision++;
      values.put(key, new VersionedValue(key, value, revision));
      record(new KeyChange(key, Optional.of(value), revision));
      leases.detach(key);
      lease.ifPresent(id -> leases.attach(id, key));
      result = new WriteResult(true, revision, Optional.empty());
    } else {
      result = conflict(key);
    }
    return result;
  }

  /**
   * Deletes a key if its revision is the expected one.
   *
   * @param key the key
   * @param expectedRevision revision that the key must have
   * @return the revision of the deletion, or the current value after a conflict
   */
  public synchronized WriteResult delete(final String key, final long expectedRevision) {
    expire();
    final WriteResult result;
    if (values.containsKey(key) && revisionOf(key) == expectedRevision) {
      remove(key);
      leases.detach(key);
      result = new WriteResult(true, revision, Optional.empty());
    } else {
      result = conflict(key);
    }
    return result;
  }

  /**
   * Returns the changes after a revision.
   *
   * @param prefix prefix of the keys
   * @param after revision after which the changes are wanted
   * @return the changes; not complete when changes after the revision are no longer retained, or
   *     when the revision lies in the future because the store has lost its content since
   */
  public synchronized WatchResult changes(final String prefix, final long after) {
    expire();
    final boolean complete = after >= compactedRevision && after <= revision;
    final List<KeyChange> found =
        log.stream()
            .filter(change -> complete)
            .filter(change -> change.revision() > after && change.key().startsWith(prefix))
            .toList();
    return new WatchResult(found, revision, complete);
  }

  /**
   * Grants a lease.
   *
   * @param timeToLive time after which the lease expires without renewal
   * @return its id
   */
  public synchronized String grant(final Duration timeToLive) {
    return leases.grant(timeToLive);
  }

  /**
   * Renews a lease.
   *
   * @param lease id of the lease
   * @return false when it has expired
   */
  public synchronized boolean keepAlive(final String lease) {
    expire();
    return leases.renew(lease);
  }

  /**
   * Revokes a lease and deletes its keys.
   *
   * @param lease id of the lease
   */
  public synchronized void revoke(final String lease) {
    leases.remove(lease).forEach(this::remove);
  }

  /** Deletes the keys of expired leases. */
  public synchronized void expire() {
    leases.removeExpired().forEach(this::remove);
  }

  private long revisionOf(final String key) {
    final VersionedValue current = values.get(key);
    return current == null ? 0 : current.revision();
  }

  private WriteResult conflict(final String key) {
    return new WriteResult(false, revisionOf(key), Optional.ofNullable(values.get(key)));
  }

  private void remove(final String key) {
    if (values.remove(key) != null) {
      revision++;
      record(new KeyChange(key, Optional.empty(), revision));
    }
  }

  private void record(final KeyChange change) {
    log.addLast(change);
    while (log.size() > changeLog) {
      compactedRevision = log.removeFirst().revision();
    }
  }
}
