package org.lentilsail.acceptance;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.record.RecordDocument;
import org.lentilsail.model.record.RecordKey;
import org.lentilsail.model.record.RecordKind;

/** Executes the operators' commands on waves and VMs as updates of records. */
public final class OperatorCommands {
  /** Maximum number of attempts when other operators update the same record concurrently. */
  private static final int MAX_ATTEMPTS = 5;

  /**
   * Maximum time to wait for the platform in a forced drain. The VM must get no new work after 3 s;
   * the rest of that time is for the drain notice.
   */
  private static final Duration FORCED_DRAIN_LIMIT = Duration.ofMillis(1_000);

  /** Maximum length of the part of a VM's name that is used in the name of a hold. */
  private static final int MAX_NAME_LENGTH = 40;

  private final RecordService records;

  /** Broadcasts forced drains while the platform is unavailable. */
  private final DrainNotifier notifier;

  /**
   * Creates the commands.
   *
   * @param records reads and writes the records
   * @param notifier broadcasts forced drains while the platform is unavailable
   */
  public OperatorCommands(final RecordService records, final DrainNotifier notifier) {
    this.records = records;
    this.notifier = notifier;
  }

  /**
   * Pauses a wave.
   *
   * @param wave name of the wave
   * @param writeId write ID
   * @param limit maximum time to wait
   * @return the confirmation
   */
  public AcceptedWrite pauseWave(final String wave, final String writeId, final Duration limit) {
    final RecordKey key = new RecordKey(RecordKind.WAVE, wave);
    return repeatAfterConflict(
        () -> {
          final VersionedRecord current = records.read(key, RecordKind.WAVE.newestVersion(), limit);
          final ObjectNode spec = current.document().spec().deepCopy();
          AcceptedWrite result = new AcceptedWrite(key, current.revision(), writeId, false);
          if (!spec.path("paused").asBoolean()) {
            spec.put("paused", true);
            result = write(key, current.revision(), spec, writeId, limit);
          }
          return result;
        });
  }

  /**
   * Resumes a wave that is paused or that failures have halted. The number of resumes is
   * incremented even when the wave is not paused, because only the leader knows whether it is
   * halted.
   *
   * @param wave name of the wave
   * @param writeId write ID
   * @param limit maximum time to wait
   * @return the confirmation
   */
  public AcceptedWrite resumeWave(final String wave, final String writeId, final Duration limit) {
    final RecordKey key = new RecordKey(RecordKind.WAVE, wave);
    return repeatAfterConflict(
        () -> {
          final VersionedRecord current = records.read(key, RecordKind.WAVE.newestVersion(), limit);
          final ObjectNode spec = current.document().spec().deepCopy();
          spec.put("paused", false);
          spec.put("resumes", spec.path("resumes").asInt() + 1);
          return write(key, current.revision(), spec, writeId, limit);
        });
  }

  /**
   * Drains a VM by a hold record. A forced drain that the platform does not store in time is
   * broadcast as a drain notice, and the exception that is thrown says so.
   *
   * @param vm name of the VM
   * @param force whether the VM is drained even when the availability budget does not allow it
   * @param reason reason for the drain, shown to other operators
   * @param writeId write ID
   * @param limit maximum time to wait
   * @return the confirmation
   */
  public AcceptedWrite drain(
      final String vm,
      final boolean force,
      final String reason,
      final String writeId,
      final Duration limit) {
    try {
      final Duration shorter = limit.compareTo(FORCED_DRAIN_LIMIT) < 0 ? limit : FORCED_DRAIN_LIMIT;
      return repeatAfterConflict(() -> hold(vm, force, reason, writeId, force ? shorter : limit));
    } catch (final LentilsailException error) {
      if (!force || !PlatformCalls.isRetryable(error)) {
        throw error;
      }
      notifier.broadcast(vm, reason);
      throw new LentilsailException(
          error.code(),
          "the drain of "
              + vm
              + " is in force on all reachable daemons, but not recorded: "
              + error.getMessage(),
          "repeat the command within 10 minutes, because the drain ends then",
          error);
    }
  }

  /**
   * Returns a drained VM to service by deleting its holds.
   *
   * @param vm name of the VM
   * @param limit maximum time to wait
   * @return the confirmation of the last deletion
   */
  public AcceptedWrite returnVm(final String vm, final Duration limit) {
    return repeatAfterConflict(
        () -> {
          final List<VersionedRecord> holds = holdsOf(vm, limit);
          if (holds.isEmpty()) {
            throw new LentilsailException(
                ErrorCode.NOT_FOUND, "VM " + vm + " is not held", "list the holds to find the VM");
          }
          Optional<AcceptedWrite> last = Optional.empty();
          for (final VersionedRecord hold : holds) {
            last = Optional.of(records.delete(hold.document().key(), hold.revision(), limit));
          }
          return last.get();
        });
  }

  private AcceptedWrite hold(
      final String vm,
      final boolean force,
      final String reason,
      final String writeId,
      final Duration limit) {
    final Optional<VersionedRecord> existing = holdsOf(vm, limit).stream().findFirst();
    final boolean sufficient =
        existing.filter(it -> !force || it.document().spec().path("force").asBoolean()).isPresent();
    final AcceptedWrite result;
    if (sufficient) {
      result =
          new AcceptedWrite(
              existing.get().document().key(), existing.get().revision(), writeId, false);
    } else {
      final RecordKey key =
          existing
              .map(it -> it.document().key())
              .orElseGet(() -> new RecordKey(RecordKind.HOLD, holdName(vm)));
      final ObjectNode spec = JsonNodeFactory.instance.objectNode();
      spec.put("vm", vm);
      spec.put("force", force);
      spec.put(
          "reason",
          reason.isEmpty()
              ? existing.map(it -> it.document().spec().path("reason").asText()).orElse("")
              : reason);
      result = write(key, existing.map(VersionedRecord::revision).orElse(0L), spec, writeId, limit);
    }
    return result;
  }

  private List<VersionedRecord> holdsOf(final String vm, final Duration limit) {
    return records.list(limit).stream()
        .filter(it -> it.document().key().kind() == RecordKind.HOLD)
        .filter(it -> it.document().spec().path("vm").asText().equals(vm))
        .toList();
  }

  private AcceptedWrite write(
      final RecordKey key,
      final long revision,
      final ObjectNode spec,
      final String writeId,
      final Duration limit) {
    final RecordDocument document = new RecordDocument(key, key.kind().newestVersion(), spec);
    return records.put(key, new RecordWrite(document.json(), revision, writeId, false), limit);
  }

  private static AcceptedWrite repeatAfterConflict(final Supplier<AcceptedWrite> command) {
    Optional<AcceptedWrite> result = Optional.empty();
    for (int attempt = 1; result.isEmpty(); attempt++) {
      try {
        result = Optional.of(command.get());
      } catch (final RecordConflictException error) {
        if (attempt == MAX_ATTEMPTS) {
          throw error;
        }
      }
    }
    return result.get();
  }

  private static String holdName(final String vm) {
    final String sanitized = "vm-" + vm.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9-]", "-");
    final String truncated = sanitized.substring(0, Math.min(sanitized.length(), MAX_NAME_LENGTH));
    return RecordKey.validName(vm) ? vm : truncated + "-" + Integer.toHexString(vm.hashCode());
  }
}
