package org.lentilsail.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads all items under a prefix page by page. */
public final class RangeReader {
  private final KeyValueStore store;
  private final String prefix;
  private final List<StoredItem> items = new ArrayList<>();
  private long revision;

  private RangeReader(final KeyValueStore store, final String prefix) {
    this.store = store;
    this.prefix = prefix;
  }

  /**
   * Reads all items.
   *
   * @param store the store
   * @param prefix prefix of the keys
   * @return all items; the revision is that of the first page, so that a watch from this revision
   *     misses no change that was made while the other pages were read
   */
  public static CompletableFuture<ItemPage> readAll(
      final KeyValueStore store, final String prefix) {
    return new RangeReader(store, prefix).readPage("");
  }

  private CompletableFuture<ItemPage> readPage(final String after) {
    return store
        .range(prefix, after)
        .thenCompose(
            page -> {
              if (items.isEmpty()) {
                revision = page.revision();
              }
              items.addAll(page.items());
              return page.more() && !page.items().isEmpty()
                  ? readPage(page.items().get(page.items().size() - 1).key())
                  : CompletableFuture.completedFuture(new ItemPage(items, false, revision));
            });
  }
}
