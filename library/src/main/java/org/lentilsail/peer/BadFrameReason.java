package org.lentilsail.peer;

import java.util.Locale;

/** Lists what can be wrong with a frame. */
enum BadFrameReason {
  /** The connection ended within the frame. */
  CUT,
  /** The frame is longer than the limit. */
  TOO_LONG,
  /** The frame does not hold exactly one MessagePack map with a type. */
  NOT_MESSAGEPACK,
  /** The connection did not begin with a hello. */
  NO_HELLO;

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
