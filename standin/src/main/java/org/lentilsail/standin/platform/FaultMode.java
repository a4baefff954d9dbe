package org.lentilsail.standin.platform;

import java.util.Arrays;
import java.util.Locale;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Lists the modes of the faults that the platform stand-in injects. */
enum FaultMode {
  /** No fault. */
  OK,
  /** Closes connections without a response; requests are not executed. */
  DOWN,
  /** Executes requests after a delay. */
  SLOW,
  /** Executes requests and closes the connection instead of responding. */
  LOSE_REPLIES,
  /** Acts like {@link #LOSE_REPLIES} for writes, and responds to reads. */
  LOSE_WRITE_REPLIES,
  /** Responds with status 503 to everything but reads. */
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
