package org.lentilsail.platform;

import java.util.List;

/**
 * Reply to a watch.
 *
 * @param changes the changes in order of revision
 * @param revision revision up to which changes are included
 * @param complete false when changes are missing and the caller has to list again
 */
public record WatchResult(List<KeyChange> changes, long revision, boolean complete) {
  /** Copies the list, so that the result is immutable. */
  public WatchResult {
    changes = List.copyOf(changes);
  }
}
