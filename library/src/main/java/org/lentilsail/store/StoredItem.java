package org.lentilsail.store;

/**
 * An item of the store.
 *
 * @param key its key
 * @param value its value; must not be modified
 * @param revision revision of its last change
 */
public record StoredItem(String key, byte[] value, long revision) {}
