package org.lentilsail.store;

import java.util.List;

/**
 * A page of the items under a prefix.
 *
 * @param items the items, ordered by key
 * @param more whether more items follow
 * @param revision revision of the store when the page was read
 */
public record ItemPage(List<StoredItem> items, boolean more, long revision) {

  /** Copies the list to make the page immutable. */
  public ItemPage {
    items = List.copyOf(items);
  }
}
