package org.lentilsail.store;

import java.util.List;

/**
 * Part of the items under a prefix.
 *
 * @param items the items in the order of their keys
 * @param more whether more follow after the last one
 * @param revision revision of the store when the page was read
 */
public record ItemPage(List<StoredItem> items, boolean more, long revision) {

  /** Copies the list, so that the page cannot change. */
  public ItemPage {
    items = List.copyOf(items);
  }
}
