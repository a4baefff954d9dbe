package org.lentilsail.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Change of a key, as the difference from the key's previous value.
 *
 * @param key the key
 * @param base revision of the previous value; the delta cannot be applied to any other value
 * @param revision revision of the change
 * @param difference the difference in the form of {@link JsonDelta}
 */
public record Delta(String key, long base, long revision, JsonNode difference) {}
