package org.lentilsail.store;

import java.util.Optional;

/**
 * A change of an item.
 *
 * @param key key of the item
 * @param item the written item, empty if it was removed
 * @param revision revision of the change
 */
public record ItemChange(String key, Optional<StoredItem> item, long revision) {}
