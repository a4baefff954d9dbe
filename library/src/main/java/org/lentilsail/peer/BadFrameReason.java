package org.lentilsail.peer;

import java.util.Locale;

/** Reasons for which a frame is rejected. */
enum BadFrameReason {
  /** The connection ended within the frame. */
  CUT,
  /** The frame is longer than the limit. */
  TOO_LONG,
  /** The frame does not hold exactly one MessagePack map with a type. */
  NOT_MESSAGEPACK,
  /** The first frame of the connection was not a hello message. */
  NO_HELLO;

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
