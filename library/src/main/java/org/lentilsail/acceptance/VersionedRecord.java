package org.lentilsail.acceptance;

import org.lentilsail.model.record.RecordDocument;

/**
 * A record with its revision.
 *
 * @param revision revision of the last write
 * @param document the record in the requested schema version
 */
public record VersionedRecord(long revision, RecordDocument document) {}
