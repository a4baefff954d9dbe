package org.lentilsail.acceptance;

import org.lentilsail.model.record.RecordKey;

/**
 * Confirms that the platform has stored a write.
 *
 * @param key the record
 * @param revision current revision of the record; later than the write if others have updated it
 * @param writeId write ID, empty for a deletion
 * @param changed false when the record already had the requested content
 */
public record AcceptedWrite(RecordKey key, long revision, String writeId, boolean changed) {}
