package org.lentilsail.acceptance;

import org.lentilsail.model.record.RecordKey;

/**
 * Confirms that the platform has stored a write.
 *
 * @param key the record
 * @param revision present revision of the record; later than the write if others have amended it
 * @param mark mark of the write, empty for a deletion
 * @param changed false when the record already said what was asked for
 */
public record AcceptedWrite(RecordKey key, long revision, String writeId, boolean changed) {}
