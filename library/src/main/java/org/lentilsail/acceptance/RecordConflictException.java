package org.lentilsail.acceptance;

import java.util.Optional;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.record.RecordDocument;
import org.lentilsail.model.record.RecordKey;

/** Thrown when a record has changed since the revision that a write is based on. */
public final class RecordConflictException extends LentilsailException {
  /** Current revision, 0 when the record does not exist. */
  private final long revision;

  /** Current content, null when the record does not exist or cannot be parsed. */
  private final transient RecordDocument current;

  /**
   * Creates an exception.
   *
   * @param key the record
   * @param expected revision that the write is based on
   * @param revision current revision, 0 when the record does not exist
   * @param current current content, empty when the record does not exist or cannot be parsed
   */
  public RecordConflictException(
      final RecordKey key,
      final long expected,
      final long revision,
      final Optional<RecordDocument> current) {
    super(
        ErrorCode.CONFLICT,
        revision == 0
            ? key + " does not exist, but the write is based on revision " + expected
            : key + " is at revision " + revision + ", but the write is based on " + expected,
        "merge the change into the current content and repeat it with the current revision");
    this.revision = revision;
    this.current = current.orElse(null);
  }

  /** Returns the current revision, 0 when the record does not exist. */
  public long revision() {
    return revision;
  }

  /** Returns the current content, empty when the record does not exist or cannot be parsed. */
  public Optional<RecordDocument> current() {
    return Optional.ofNullable(current);
  }
}
