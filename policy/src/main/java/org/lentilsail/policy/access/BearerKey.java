package org.lentilsail.policy.access;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/** Reads the key from the value of an Authorization header. */
final class BearerKey {
  private static final String SCHEME = "bearer ";
  private static final int MAX_KEY_LENGTH = 1_024;

  private BearerKey() {}

  /**
   * Reads a key.
   *
   * @param header value of the header, with one character for each byte received
   * @return the bytes of the key, empty if the value has another form
   */
  static Optional<byte[]> read(final String header) {
    final String value = header.strip();
    if (value.length() < SCHEME.length()
        || !value.substring(0, SCHEME.length()).toLowerCase(Locale.ROOT).equals(SCHEME)) {
      return Optional.empty();
    }
    final byte[] key =
        value.substring(SCHEME.length()).strip().getBytes(StandardCharsets.ISO_8859_1);
    return key.length == 0 || key.length > MAX_KEY_LENGTH ? Optional.empty() : Optional.of(key);
  }
}
