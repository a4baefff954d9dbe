package org.lentilsail.store;

import java.util.ArrayList;
import java.util.List;

/**
 * A transaction: writes and removals that are applied atomically if all preconditions hold, and not
 * at all otherwise.
 *
 * @param conditions preconditions on items
 * @param writes items to write
 * @param removals keys of items to remove
 */
public record Transaction(List<Condition> conditions, List<Write> writes, List<String> removals) {
  /** Maximum total number of preconditions, writes and removals that the store accepts. */
  public static final int MAX_ENTRIES = 32;

  /** Copies the lists to make the transaction immutable. */
  public Transaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
    removals = List.copyOf(removals);
  }

  /**
   * Precondition on the revision of an item.
   *
   * @param key key of the item
   * @param revision expected revision of its last change, 0 if it must not exist
   */
  public record Condition(String key, long revision) {}

  /**
   * Write of an item.
   *
   * @param key key of the item
   * @param value new value
   * @param lease lease that the item is attached to; the item is removed when the lease ends; 0 for
   *     none
   */
  public record Write(String key, byte[] value, long lease) {}

  /**
   * Returns an empty transaction.
   *
   * @return the transaction
   */
  public static Transaction empty() {
    return new Transaction(List.of(), List.of(), List.of());
  }

  /**
   * Returns a copy with another precondition.
   *
   * @param key key of the item
   * @param revision expected revision of its last change, 0 if it must not exist
   * @return the extended transaction
   */
  public Transaction requireRevision(final String key, final long revision) {
    return new Transaction(append(conditions, new Condition(key, revision)), writes, removals);
  }

  /**
   * Returns a copy with another write.
   *
   * @param key key of the item
   * @param value new value
   * @param lease lease that the item is attached to; the item is removed when the lease ends; 0 for
   *     none
   * @return the extended transaction
   */
  public Transaction write(final String key, final byte[] value, final long lease) {
    return new Transaction(conditions, append(writes, new Write(key, value, lease)), removals);
  }

  /**
   * Returns a copy with another removal.
   *
   * @param key key of the item
   * @return the extended transaction
   */
  public Transaction remove(final String key) {
    return new Transaction(conditions, writes, append(removals, key));
  }

  private static <T> List<T> append(final List<T> list, final T element) {
    final List<T> extended = new ArrayList<>(list);
    extended.add(element);
    return extended;
  }
}
