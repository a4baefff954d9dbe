package org.lentilsail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lentilsail.http.HttpResponse;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Parses the platform's replies. An unreadable reply is treated like a lost one. */
final class PlatformReplies {
  /** Status of a call that was executed. */
  static final int OK = 200;

  /** Status of a malformed call. */
  private static final int BAD_REQUEST = 400;

  /** Status of a missing key, lease or VM. */
  static final int NOT_FOUND = 404;

  /** Status of a conflict. */
  static final int CONFLICT = 409;

  /** Status of a value over the limit. */
  private static final int TOO_LARGE = 413;

  /** Status of a call that the platform did not execute. */
  private static final int UNAVAILABLE = 503;

  private static final ObjectMapper JSON = new ObjectMapper();

  private PlatformReplies() {}

  static JsonNode body(final HttpResponse response) {
    try {
      return JSON.readTree(response.body());
    } catch (final IOException error) {
      throw new LentilsailException(
          ErrorCode.OUTCOME_UNKNOWN,
          "reply of the platform is not JSON: " + error.getMessage(),
          "check the address of the platform in the settings",
          error);
    }
  }

  static VersionedValue value(final JsonNode body) {
    return new VersionedValue(
        body.path("key").asText(), body.path("value"), body.path("revision").asLong());
  }

  static Listing listing(final JsonNode body) {
    final List<VersionedValue> values = new ArrayList<>();
    body.path("values").forEach(entry -> values.add(value(entry)));
    return new Listing(values, body.path("revision").asLong());
  }

  static WatchResult watchResult(final JsonNode body) {
    final List<KeyChange> changes = new ArrayList<>();
    body.path("changes").forEach(entry -> changes.add(change(entry)));
    return new WatchResult(
        changes, body.path("revision").asLong(), body.path("complete").asBoolean());
  }

  static WriteResult conflict(final JsonNode body) {
    final long revision = body.path("revision").asLong();
    return new WriteResult(
        false, revision, revision == 0 ? Optional.empty() : Optional.of(value(body)));
  }

  static List<VmReport> vms(final JsonNode body) {
    final List<VmReport> result = new ArrayList<>();
    body.path("vms").forEach(entry -> result.add(JSON.convertValue(entry, VmReport.class)));
    return result;
  }

  /**
   * Converts an unexpected status to an error. The outcome is unknown unless the status guarantees
   * that the platform did not execute the call.
   */
  static LentilsailException unexpected(final HttpResponse response) {
    final ErrorCode code =
        switch (response.status()) {
          case BAD_REQUEST -> ErrorCode.INVALID_INPUT;
          case NOT_FOUND -> ErrorCode.NOT_FOUND;
          case TOO_LARGE -> ErrorCode.TOO_LARGE;
          case UNAVAILABLE -> ErrorCode.PLATFORM_UNAVAILABLE;
          default -> ErrorCode.OUTCOME_UNKNOWN;
        };
    return new LentilsailException(
        code,
        "platform replied with status " + response.status() + ": " + message(response),
        "see the platform's message, then repeat the call");
  }

  private static String message(final HttpResponse response) {
    try {
      return JSON.readTree(response.body()).path("message").asText();
    } catch (final IOException error) {
      return "a body that is not JSON";
    }
  }

  private static KeyChange change(final JsonNode entry) {
    final boolean deleted = entry.path("deleted").asBoolean();
    return new KeyChange(
        entry.path("key").asText(),
        deleted ? Optional.empty() : Optional.of(entry.path("value")),
        entry.path("revision").asLong());
  }
}
