package org.lentilsail.idempotency;

import org.lentilsail.entry.EntryResponse;
import org.lentilsail.entry.ErrorResponses;
import org.lentilsail.entry.Outcome;
import org.lentilsail.model.error.ErrorCode;

/** Builds the error responses for keyed requests. */
final class KeyErrorResponses {
  private KeyErrorResponses() {}

  static EntryResponse invalid(final String key) {
    return ErrorResponses.of(
        ErrorCode.KEY_INVALID,
        "Idempotency-Key '" + key + "' is not a UUIDv7",
        "use a UUIDv7 (RFC 9562) or a key of POST /lentilsail/keys",
        Outcome.NOT_RUN);
  }

  static EntryResponse reused() {
    return ErrorResponses.of(
        ErrorCode.KEY_REUSED,
        "the key belongs to a different request",
        "use a new key for each request",
        Outcome.NOT_RUN);
  }

  static EntryResponse fromFuture() {
    return ErrorResponses.of(
        ErrorCode.KEY_FROM_FUTURE,
        "the time in the key is ahead of the clock of the key's owner",
        "check the clock that creates keys or use a key of POST /lentilsail/keys",
        Outcome.NOT_RUN);
  }

  static EntryResponse tooOld() {
    return ErrorResponses.of(
        ErrorCode.KEY_TOO_OLD,
        "the key is older than the retention period of keys",
        "find out whether the request ran before you repeat it",
        Outcome.UNKNOWN);
  }

  static EntryResponse ownerUnreachable(final String reason) {
    return ErrorResponses.of(
        ErrorCode.KEY_OWNER_UNREACHABLE,
        "the owner of the key cannot be reached: " + reason,
        "if this was the first attempt, repeat it with a new key",
        Outcome.UNKNOWN);
  }

  static EntryResponse alreadyRan() {
    return ErrorResponses.of(
        ErrorCode.ALREADY_RAN,
        "the request with this key ran and its response is no longer cached",
        "do not repeat the request",
        Outcome.RAN);
  }
}
