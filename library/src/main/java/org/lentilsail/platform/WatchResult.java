package org.lentilsail.platform;

import java.util.List;

/**
 * Answer to a watch.
 *
 * @param changes the changes in order of revision
 * @param revision revision up to which the changes reach
 * @param complete false when changes are missing and the caller has to list again
 */
public record WatchResult(List<KeyChange> changes, long revision, boolean complete) {
  /** Copies the list, so that the result cannot change. */
  public WatchResult {
    changes = List.copyOf(changes);
  }
}
