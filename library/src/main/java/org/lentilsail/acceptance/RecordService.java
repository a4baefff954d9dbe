package org.lentilsail.acceptance;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.record.RecordKey;
import org.lentilsail.model.record.RecordMerger;
import org.lentilsail.model.record.RecordReferences;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.RecordsBuilder;
import org.lentilsail.model.record.StoredRecord;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.platform.Listing;
import org.lentilsail.platform.PlatformClient;
import org.lentilsail.platform.VersionedValue;

/** Reads and writes records on the platform; blocks the calling thread; thread-safe. */
public final class RecordService {
  private final PlatformClient platform;

  /** Writes records by compare-and-swap. */
  private final ConditionalWriter writer;

  private final TimeSource time;

  private final Sleeper sleeper;

  /**
   * Creates a service.
   *
   * @param platform client of the key-value service; not closed by this object
   * @param time source of monotonic time for the deadlines
   * @param sleeper waits between attempts
   */
  public RecordService(
      final PlatformClient platform, final TimeSource time, final Sleeper sleeper) {
    this.platform = platform;
    this.writer = new ConditionalWriter(platform);
    this.time = time;
    this.sleeper = sleeper;
  }

  /**
   * Creates or updates a record.
   *
   * @param key the record
   * @param write the content
   * @param limit maximum time to wait
   * @return the confirmation
   */
  public AcceptedWrite put(final RecordKey key, final RecordWrite write, final Duration limit) {
    final Deadline deadline = new Deadline(time, sleeper, limit);
    final Listing listing = listing(deadline);
    final Optional<VersionedValue> current = find(listing, key);
    final long revision = current.map(VersionedValue::revision).orElse(0L);
    AcceptedWrite result = new AcceptedWrite(key, revision, write.writeId(), true);
    if (!ConditionalWriter.containsWriteId(current, key, write.writeId())) {
      checkRevision(key, write, current);
      final Optional<StoredRecord> base =
          current.flatMap(value -> ConditionalWriter.parse(key, value));
      final StoredRecord merged =
          RecordMerger.apply(base, write.json(), records(listing), write.writeId());
      if (!merged.key().equals(key)) {
        throw new LentilsailException(
            ErrorCode.INVALID_INPUT,
            "the record is " + merged.key() + ", but the path names " + key,
            "write the same kind and name in both places");
      }
      final long stored =
          writer.store(
              merged,
              write.expectedRevision(),
              base.map(StoredRecord::writeId).orElse(""),
              deadline);
      result = new AcceptedWrite(key, stored, write.writeId(), true);
    }
    return result;
  }

  /**
   * Deletes a record that no other record refers to.
   *
   * @param key the record
   * @param expected revision that the deletion is based on
   * @param limit maximum time to wait
   * @return the confirmation
   */
  public AcceptedWrite delete(final RecordKey key, final long expected, final Duration limit) {
    final Deadline deadline = new Deadline(time, sleeper, limit);
    final Listing listing = listing(deadline);
    final VersionedValue current = find(listing, key).orElseThrow(() -> missing(key));
    if (current.revision() != expected) {
      throw ConditionalWriter.conflict(
          key, expected, Optional.of(current), key.kind().newestVersion());
    }
    final List<RecordKey> referrers = RecordReferences.referrers(key, records(listing));
    if (!referrers.isEmpty()) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          key + " is used by " + referrers,
          "delete or amend these records first");
    }
    final String baseWriteId =
        ConditionalWriter.parse(key, current).map(StoredRecord::writeId).orElse("");
    return new AcceptedWrite(key, writer.delete(key, expected, baseWriteId, deadline), "", true);
  }

  /**
   * Reads a record.
   *
   * @param key the record
   * @param version schema version of the result
   * @param limit maximum time to wait
   * @return the record
   */
  public VersionedRecord read(final RecordKey key, final int version, final Duration limit) {
    final Deadline deadline = new Deadline(time, sleeper, limit);
    final VersionedValue value =
        PlatformCalls.read(() -> platform.get(key.platformKey()), deadline)
            .orElseThrow(() -> missing(key));
    return new VersionedRecord(
        value.revision(), StoredRecord.parse(key, value.value()).toVersion(version));
  }

  /**
   * Reads all records in their newest schema version; records that cannot be parsed are omitted.
   *
   * @param limit maximum time to wait
   * @return the records in order of kind and name
   */
  public List<VersionedRecord> list(final Duration limit) {
    return listing(new Deadline(time, sleeper, limit)).values().stream()
        .sorted(Comparator.comparing(VersionedValue::key))
        .flatMap(
            value ->
                RecordKey.parse(value.key())
                    .flatMap(key -> ConditionalWriter.parse(key, value))
                    .map(
                        stored ->
                            new VersionedRecord(
                                value.revision(),
                                stored.toVersion(stored.key().kind().newestVersion())))
                    .stream())
        .toList();
  }

  private Listing listing(final Deadline deadline) {
    return PlatformCalls.read(() -> platform.list(RecordKey.PREFIX), deadline);
  }

  private static void checkRevision(
      final RecordKey key, final RecordWrite write, final Optional<VersionedValue> current) {
    final long expected = write.expectedRevision();
    if (current.map(VersionedValue::revision).orElse(0L) != expected) {
      if (write.repeated() && !ConditionalWriter.isKnownNotWritten(current, key, "")) {
        throw new OutcomeUnknownException(key, expected, write.writeId());
      }
      throw ConditionalWriter.conflict(key, expected, current, version(key, write.json()));
    }
  }

  private static int version(final RecordKey key, final JsonNode json) {
    final int newest = key.kind().newestVersion();
    final int written = json.path("schemaVersion").asInt(newest);
    return written >= 1 && written <= newest ? written : newest;
  }

  private static Optional<VersionedValue> find(final Listing listing, final RecordKey key) {
    return listing.values().stream()
        .filter(value -> value.key().equals(key.platformKey()))
        .findFirst();
  }

  private static Records records(final Listing listing) {
    final RecordsBuilder builder = new RecordsBuilder();
    listing.values().forEach(value -> builder.add(value.key(), value.value()));
    return builder.build();
  }

  private static LentilsailException missing(final RecordKey key) {
    return new LentilsailException(
        ErrorCode.NOT_FOUND, key + " does not exist", "list the records to find the right name");
  }
}
