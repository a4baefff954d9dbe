package org.lentilsail.store;

/**
 * An item of the store.
 *
 * @param key its key
 * @param value its value; not to be changed
 * @param revision revision of its last change
 */
public record StoredItem(String key, byte[] value, long revision) {}
