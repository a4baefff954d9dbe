package org.lentilsail.acceptance;

import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.record.RecordKey;

/** Thrown when a write may or may not have taken effect. */
public final class OutcomeUnknownException extends LentilsailException {
  /** Write ID, empty for a deletion. */
  private final String writeId;

  /** Revision that the write is based on. */
  private final long expectedRevision;

  /**
   * Creates an exception.
   *
   * @param key the record
   * @param expectedRevision revision that the write is based on
   * @param writeId write ID, empty for a deletion
   */
  public OutcomeUnknownException(
      final RecordKey key, final long expectedRevision, final String writeId) {
    super(
        ErrorCode.OUTCOME_UNKNOWN,
        "the write of " + key + " may or may not have taken effect",
        writeId.isEmpty()
            ? "read the record to see whether it still exists"
            : "repeat the command with mark " + writeId + " and revision " + expectedRevision);
    this.writeId = writeId;
    this.expectedRevision = expectedRevision;
  }

  /** Returns the write ID, empty for a deletion. */
  public String writeId() {
    return writeId;
  }

  /** Returns the revision that the write is based on. */
  public long expectedRevision() {
    return expectedRevision;
  }
}
