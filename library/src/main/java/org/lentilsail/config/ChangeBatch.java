package org.lentilsail.config;

import java.util.List;
import org.lentilsail.platform.KeyChange;

/**
 * All changes between two revisions, or all values at one revision.
 *
 * @param full whether the batch has all values at {@code to} instead of the changes
 * @param from revision after which the changes begin, 0 for a full batch
 * @param to revision up to which the batch reaches
 * @param changes the changes in order of revision
 * @param deltas further changes, as deltas, in order of revision
 */
public record ChangeBatch(
    boolean full, long from, long to, List<KeyChange> changes, List<Delta> deltas) {
  /** Copies the lists, so that the batch cannot change. */
  public ChangeBatch {
    changes = List.copyOf(changes);
    deltas = List.copyOf(deltas);
  }

  /**
   * Creates a batch without deltas.
   *
   * @param full whether the batch has all values at {@code to} instead of the changes
   * @param from revision after which the changes begin, 0 for a full batch
   * @param to revision up to which the batch reaches
   * @param changes the changes in order of revision
   */
  public ChangeBatch(
      final boolean full, final long from, final long to, final List<KeyChange> changes) {
    this(full, from, to, changes, List.of());
  }
}
