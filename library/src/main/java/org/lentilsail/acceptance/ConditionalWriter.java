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
 * Writes records by compare-and-swap. A write whose reply is lost is repeated unchanged: at most
 * one attempt can succeed, since each one expects the same revision. A conflict after a lost reply
 * is resolved by the write IDs in the current value.
 */
final class ConditionalWriter {
  private final PlatformClient platform;

  ConditionalWriter(final PlatformClient platform) {
    this.platform = platform;
  }

  /**
   * Stores a record.
   *
   * @param record the record with the write ID
   * @param expected revision that the key must have
   * @param baseWriteId write ID of the record that is updated, empty when it is created
   * @param deadline deadline of the attempts
   * @return revision of the record
   */
  long store(
      final StoredRecord record,
      final long expected,
      final String baseWriteId,
      final Deadline deadline) {
    final RecordKey key = record.key();
    final JsonNode value = record.json();
    final RetriedWrite retriedWrite = new RetriedWrite(key, expected, record.writeId());
    final WriteResult result =
        retriedWrite.repeat(
            () -> platform.compareAndSet(key.platformKey(), expected, value, Optional.empty()),
            deadline);
    if (!result.written() && !containsWriteId(result.current(), key, record.writeId())) {
      if (retriedWrite.mayHaveTakenEffect()
          && !isKnownNotWritten(result.current(), key, baseWriteId)) {
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
   * @param baseWriteId write ID of the record that is deleted
   * @param deadline deadline of the attempts
   * @return revision of the deletion
   */
  long delete(
      final RecordKey key, final long expected, final String baseWriteId, final Deadline deadline) {
    final RetriedWrite retriedWrite = new RetriedWrite(key, expected, "");
    final WriteResult result =
        retriedWrite.repeat(() -> platform.delete(key.platformKey(), expected), deadline);
    final boolean gone = result.written() || result.current().isEmpty();
    if (!gone) {
      if (retriedWrite.mayHaveTakenEffect()
          && !containsWriteId(result.current(), key, baseWriteId)) {
        throw new OutcomeUnknownException(key, expected, "");
      }
      throw conflict(key, expected, result.current(), key.kind().newestVersion());
    }
    return result.revision();
  }

  /** Returns whether the current value contains a write ID as its own or as an earlier one. */
  static boolean containsWriteId(
      final Optional<VersionedValue> current, final RecordKey key, final String writeId) {
    return !writeId.isEmpty()
        && current
            .flatMap(value -> parse(key, value))
            .filter(it -> it.containsWriteId(writeId))
            .isPresent();
  }

  /**
   * Returns whether the write IDs show that a write whose ID is missing did not take effect: the
   * stored IDs reach back either to the record that the write updates or to the creation.
   */
  static boolean isKnownNotWritten(
      final Optional<VersionedValue> current, final RecordKey key, final String baseWriteId) {
    return current
        .flatMap(value -> parse(key, value))
        .filter(
            it ->
                !baseWriteId.isEmpty() && it.containsWriteId(baseWriteId)
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

  /** Parses a stored record; empty when its envelope cannot be parsed. */
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

  /** Repeats one conditional write and records whether an attempt may have taken effect. */
  private static final class RetriedWrite {
    private final RecordKey key;

    /** Revision that the write expects. */
    private final long expected;

    private final String writeId;

    /** Whether an attempt without a reply may have taken effect. */
    private boolean mayHaveTakenEffect;

    RetriedWrite(final RecordKey key, final long expected, final String writeId) {
      this.key = key;
      this.expected = expected;
      this.writeId = writeId;
    }

    boolean mayHaveTakenEffect() {
      return mayHaveTakenEffect;
    }

    WriteResult repeat(
        final Supplier<CompletableFuture<WriteResult>> call, final Deadline deadline) {
      Optional<WriteResult> result = Optional.empty();
      while (result.isEmpty()) {
        if (deadline.isExpired()) {
          throw mayHaveTakenEffect
              ? new OutcomeUnknownException(key, expected, writeId)
              : PlatformCalls.unavailable(null);
        }
        try {
          result = Optional.of(PlatformCalls.await(call.get(), deadline.remaining()));
        } catch (final LentilsailException error) {
          mayHaveTakenEffect |= error.code() == ErrorCode.OUTCOME_UNKNOWN;
          if (!PlatformCalls.isRetryable(error)) {
            throw mayHaveTakenEffect ? new OutcomeUnknownException(key, expected, writeId) : error;
          }
          deadline.sleepBeforeRetry();
        }
      }
      return result.get();
    }
  }
}
