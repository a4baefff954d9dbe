package org.lentilsail.acceptance;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.record.RecordKey;
import org.lentilsail.model.record.StoredRecord;
import org.lentilsail.platform.PlatformClient;
import org.lentilsail.platform.VersionedValue;
import org.lentilsail.platform.WriteResult;

/**
 * Writes records conditionally. A write whose reply is lost is repeated unchanged: at most one
 * attempt can succeed, since each one expects the same revision. A conflict after a lost reply is
 * resolved by the marks in the present value.
 */
final class ConditionalWriter {
  /** Access to the key-value service. */
  private final PlatformClient platform;

  ConditionalWriter(final PlatformClient platform) {
    this.platform = platform;
  }

  /**
   * Stores a record.
   *
   * @param record the record with the mark of the write
   * @param expected revision that the key must have
   * @param baseMark mark of the record that is amended, empty when it is created
   * @param deadline end of the attempts
   * @return revision of the record
   */
  long store(
      final StoredRecord record,
      final long expected,
      final String baseMark,
      final Deadline deadline) {
    final RecordKey key = record.key();
    final JsonNode value = record.json();
    final Attempts attempts = new Attempts(key, expected, record.writeId());
    final WriteResult result =
        attempts.repeat(
            () -> platform.compareAndSet(key.platformKey(), expected, value, Optional.empty()),
            deadline);
    if (!result.written() && !containsWriteId(result.current(), key, record.writeId())) {
      if (attempts.inDoubt() && !isKnownNotWritten(result.current(), key, baseMark)) {
        throw new OutcomeUnknownException(key, expected, record.writeId());
      }
      throw conflict(key, expected, result.current(), record.key().kind().newestVersion());
    }
    return result.written()
        ? result.revision()
        : result.current().map(VersionedValue::revision).orElse(result.revision());
  }

  /**
   * Deletes a record.
   *
   * @param key the record
   * @param expected revision that the key must have
   * @param baseMark mark of the record that is deleted
   * @param deadline end of the attempts
   * @return revision of the deletion
   */
  long delete(
      final RecordKey key, final long expected, final String baseMark, final Deadline deadline) {
    final Attempts attempts = new Attempts(key, expected, "");
    final WriteResult result =
        attempts.repeat(() -> platform.delete(key.platformKey(), expected), deadline);
    final boolean gone = result.written() || result.current().isEmpty();
    if (!gone) {
      if (attempts.inDoubt() && !containsWriteId(result.current(), key, baseMark)) {
        throw new OutcomeUnknownException(key, expected, "");
      }
      throw conflict(key, expected, result.current(), key.kind().newestVersion());
    }
    return result.revision();
  }

  /** Tells whether the present value or a kept write before it carries a mark. */
  static boolean containsWriteId(
      final Optional<VersionedValue> current, final RecordKey key, final String mark) {
    return !mark.isEmpty()
        && current
            .flatMap(value -> parse(key, value))
            .filter(it -> it.containsWriteId(mark))
            .isPresent();
  }

  /**
   * Tells whether the marks show that a write without its mark there did not take effect: either
   * the kept marks reach back to the record that it amends, or they reach back to the creation.
   */
  static boolean isKnownNotWritten(
      final Optional<VersionedValue> current, final RecordKey key, final String baseMark) {
    return current
        .flatMap(value -> parse(key, value))
        .filter(
            it ->
                !baseMark.isEmpty() && it.containsWriteId(baseMark)
                    || it.earlierWriteIds().size() < StoredRecord.MAX_EARLIER_WRITE_IDS)
        .isPresent();
  }

  static RecordConflictException conflict(
      final RecordKey key,
      final long expected,
      final Optional<VersionedValue> current,
      final int version) {
    return new RecordConflictException(
        key,
        expected,
        current.map(VersionedValue::revision).orElse(0L),
        current.flatMap(value -> parse(key, value)).map(it -> it.toVersion(version)));
  }

  /** Reads a stored record; empty when its envelope cannot be read. */
  static Optional<StoredRecord> parse(final RecordKey key, final VersionedValue value) {
    Optional<StoredRecord> result = Optional.empty();
    try {
      result = Optional.of(StoredRecord.parse(key, value.value()));
    } catch (final LentilsailException error) {
      if (error.code() != ErrorCode.INVALID_INPUT) {
        throw error;
      }
    }
    return result;
  }

  /** Repeats one conditional write and remembers whether an attempt may have taken effect. */
  private static final class Attempts {
    /** The record. */
    private final RecordKey key;

    /** Revision that the write expects. */
    private final long expected;

    /** Mark of the write. */
    private final String mark;

    /** Whether an attempt without a reply may have taken effect. */
    private boolean inDoubt;

    Attempts(final RecordKey key, final long expected, final String mark) {
      this.key = key;
      this.expected = expected;
      this.mark = mark;
    }

    boolean inDoubt() {
      return inDoubt;
    }

    WriteResult repeat(
        final Supplier<CompletableFuture<WriteResult>> call, final Deadline deadline) {
      Optional<WriteResult> result = Optional.empty();
      while (result.isEmpty()) {
        if (deadline.isExpired()) {
          throw inDoubt
              ? new OutcomeUnknownException(key, expected, mark)
              : PlatformCalls.unavailable(null);
        }
        try {
          result = Optional.of(PlatformCalls.await(call.get(), deadline.remaining()));
        } catch (final LentilsailException error) {
          inDoubt |= error.code() == ErrorCode.OUTCOME_UNKNOWN;
          if (!PlatformCalls.isRetryable(error)) {
            throw inDoubt ? new OutcomeUnknownException(key, expected, mark) : error;
          }
          deadline.sleepBeforeRetry();
        }
      }
      return result.get();
    }
  }
}
