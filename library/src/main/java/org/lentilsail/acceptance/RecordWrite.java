package org.lentilsail.acceptance;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Request to create or update a record.
 *
 * @param json the record
 * @param expectedRevision revision that the write is based on, 0 to create
 * @param writeId unique ID of the write, by which a repeated attempt is recognised
 * @param repeated whether an earlier attempt with this write ID may have taken effect
 */
public record RecordWrite(JsonNode json, long expectedRevision, String writeId, boolean repeated) {}
