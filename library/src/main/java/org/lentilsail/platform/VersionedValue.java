package org.lentilsail.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key of the platform with its value and revision.
 *
 * @param key the key
 * @param value the JSON value
 * @param revision revision of the last write; all keys share one revision counter
 */
public record VersionedValue(String key, JsonNode value, long revision) {}
