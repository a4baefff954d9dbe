package org.lentilsail.acceptance;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Asks for a record to be created or amended.
 *
 * @param json the record
 * @param expectedRevision revision that the writer has seen, 0 to create
 * @param mark mark of the write
 * @param repeated whether an earlier attempt with this mark may have taken effect
 */
public record RecordWrite(JsonNode json, long expectedRevision, String writeId, boolean repeated) {}
