package org.lentilsail.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Changes that are made together under conditions, or not at all.
 *
 * @param conditions what must hold
 * @param writes what is written
 * @param removals keys that are removed
 */
public record Transaction(List<Condition> conditions, List<Write> writes, List<String> removals) {
  /** Most conditions, writes and removals together that the store accepts. */
  public static final int MAX_ENTRIES = 32;

  /** Copies the lists, so that the commit cannot change. */
  public Transaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
    removals = List.copyOf(removals);
  }

  /**
   * Asks for the last change of an item.
   *
   * @param key key of the item
   * @param revision revision of its last change, 0 when it must not exist
   */
  public record Condition(String key, long revision) {}

  /**
   * Writes an item.
   *
   * @param key key of the item
   * @param value its value
   * @param lease lease with whose end the item is removed, 0 for none
   */
  public record Write(String key, byte[] value, long lease) {}

  /**
   * Starts an empty commit.
   *
   * @return the commit
   */
  public static Transaction empty() {
    return new Transaction(List.of(), List.of(), List.of());
  }

  /**
   * Adds a condition.
   *
   * @param key key of the item
   * @param revision revision of its last change, 0 when it must not exist
   * @return the larger commit
   */
  public Transaction requireRevision(final String key, final long revision) {
    return new Transaction(with(conditions, new Condition(key, revision)), writes, removals);
  }

  /**
   * Adds a write.
   *
   * @param key key of the item
   * @param value its value
   * @param lease lease with whose end the item is removed, 0 for none
   * @return the larger commit
   */
  public Transaction write(final String key, final byte[] value, final long lease) {
    return new Transaction(conditions, with(writes, new Write(key, value, lease)), removals);
  }

  /**
   * Adds a removal.
   *
   * @param key key of the item
   * @return the larger commit
   */
  public Transaction remove(final String key) {
    return new Transaction(conditions, writes, with(removals, key));
  }

  private static <T> List<T> with(final List<T> list, final T element) {
    final List<T> larger = new ArrayList<>(list);
    larger.add(element);
    return larger;
  }
}
