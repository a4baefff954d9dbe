package org.lentilsail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * One change of a key.
 *
 * @param key the key
 * @param value the new value, empty when the key was deleted
 * @param revision revision of the change
 */
public record KeyChange(String key, Optional<JsonNode> value, long revision) {}
