package org.lentilsail.standin.platform;

import java.util.Arrays;
import java.util.Locale;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Lists the ways in which the stand-in misbehaves. */
enum FaultMode {
  /** Works. */
  OK,
  /** Closes connections without an answer and does nothing. */
  DOWN,
  /** Carries calls out after a delay. */
  SLOW,
  /** Carries calls out and closes the connection instead of answering. */
  LOSE_REPLIES,
  /** Does so for calls that change something, and answers reads. */
  LOSE_WRITE_REPLIES,
  /** Answers 503 to everything but reads. */
  REFUSE_WRITES;

  static FaultMode of(final String text) {
    return Arrays.stream(values())
        .filter(mode -> mode.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(text))
        .findFirst()
        .orElseThrow(
            () ->
                new LentilsailException(
                    ErrorCode.INVALID_INPUT,
                    "fault mode \"" + text + "\" does not exist",
                    "use ok, down, slow, lose-replies, lose-write-replies or refuse-writes"));
  }
}
