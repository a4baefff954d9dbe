package org.lentilsail.jobs;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.util.Optional;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.store.StoredItem;
import org.tinylog.Logger;

/** Serializes the documents that this package persists in the store, as JSON. Thread-safe. */
final class Documents {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private static final ObjectWriter WRITER = MAPPER.writer();

  /** Reads a submission. */
  static final ObjectReader SUBMISSION = MAPPER.readerFor(SubmittedJob.class);

  /** Reads the progress of a job. */
  static final ObjectReader PROGRESS = MAPPER.readerFor(JobProgress.class);

  /** Reads the latest term. */
  static final ObjectReader TERM = MAPPER.readerFor(TermDocument.class);

  /** Reads a takeover offer. */
  static final ObjectReader OFFER = MAPPER.readerFor(OfferDocument.class);

  /** Reads the workers that may have been assigned tasks. */
  static final ObjectReader ROSTER = MAPPER.readerFor(RosterDocument.class);

  /** Reads the tasks that a worker may have been assigned. */
  static final ObjectReader PLACEMENT = MAPPER.readerFor(PlacementDocument.class);

  /** Reads the machines maintained in a wave. */
  static final ObjectReader WAVE = MAPPER.readerFor(WaveDocument.class);

  /** Reads the machines with recent commands. */
  static final ObjectReader MACHINE_COMMANDS = MAPPER.readerFor(MachineCommandsDocument.class);

  /** Reads the number of waiting jobs by queue. */
  static final ObjectReader WAITING = MAPPER.readerFor(WaitingDocument.class);

  private Documents() {}

  static byte[] write(final Object document) {
    try {
      return WRITER.writeValueAsBytes(document);
    } catch (final JsonProcessingException error) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "cannot write a " + document.getClass().getSimpleName(),
          "report this as a bug",
          error);
    }
  }

  /** Returns the organisation of a submission, empty for none or if it cannot be parsed. */
  static String organisation(final StoredItem submission) {
    return Documents.<SubmittedJob>read(SUBMISSION, submission)
        .map(SubmittedJob::organisation)
        .orElse("");
  }

  /** Reads a document. One that cannot be parsed is logged and yields an empty result. */
  static <T> Optional<T> read(final ObjectReader reader, final StoredItem item) {
    try {
      return Optional.ofNullable(reader.<T>readValue(item.value()));
    } catch (final IOException error) {
      Logger.warn(
          "event=document-unreadable key={} revision={} reason={}",
          item.key(),
          item.revision(),
          error.getMessage());
      return Optional.empty();
    }
  }
}
