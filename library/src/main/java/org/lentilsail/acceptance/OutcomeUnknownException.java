package org.lentilsail.acceptance;

import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.record.RecordKey;

/** Reports that a write may or may not have taken effect. */
public final class OutcomeUnknownException extends LentilsailException {
  /** Mark of the write, empty for a deletion. */
  private final String writeId;

  /** Revision that the write is based on. */
  private final long expectedRevision;

  /**
   * Creates an exception.
   *
   * @param key the record
   * @param expectedRevision revision that the write is based on
   * @param mark mark of the write, empty for a deletion
   */
  public OutcomeUnknownException(
      final RecordKey key, final long expectedRevision, final String mark) {
    super(
        ErrorCode.OUTCOME_UNKNOWN,
        "the write of " + key + " may or may not have taken effect",
        mark.isEmpty()
            ? "read the record to see whether it still exists"
            : "repeat the command with mark " + mark + " and revision " + expectedRevision);
    this.writeId = mark;
    this.expectedRevision = expectedRevision;
  }

  /** Returns the mark of the write, empty for a deletion. */
  public String writeId() {
    return writeId;
  }

  /** Returns the revision that the write is based on. */
  public long expectedRevision() {
    return expectedRevision;
  }
}
