package org.lentilsail.idempotency;

import java.util.Optional;
import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * A UUIDv7 (RFC 9562), which contains its creation time.
 *
 * @param uuid the key
 */
public record IdempotencyKey(UUID uuid) {
  /** Number of ranges that keys are hashed into. */
  public static final int RANGES = 16;

  /** Version of UUIDs that begin with a Unix time in ms. */
  private static final int TIME_ORDERED_VERSION = 7;

  /** UUID variant that RFC 9562 specifies. */
  private static final int RFC_VARIANT = 2;

  /** Number of bits after the timestamp in the upper half. */
  private static final int BITS_AFTER_TIME = 16;

  /** Odd constant near 2^64 / golden ratio; mixes all bits into the highest ones. */
  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

  /** Shift that leaves the 4 highest bits, which are the number of the range. */
  private static final int RANGE_SHIFT = 60;

  /** Length of the text form; {@code UUID.fromString} also accepts shorter ones. */
  private static final int TEXT_LENGTH = 36;

  /**
   * Parses a key.
   *
   * @param text value of the field
   * @return the key, empty when the text is not a UUIDv7
   */
  public static Optional<IdempotencyKey> parse(final String text) {
    Optional<IdempotencyKey> result = Optional.empty();
    if (text.length() == TEXT_LENGTH) {
      try {
        final UUID uuid = UUID.fromString(text);
        if (uuid.version() == TIME_ORDERED_VERSION && uuid.variant() == RFC_VARIANT) {
          result = Optional.of(new IdempotencyKey(uuid));
        }
      } catch (final IllegalArgumentException error) {
        // Not a UUID, so the result stays empty.
      }
    }
    return result;
  }

  /**
   * Creates a key.
   *
   * @param millis creation time in ms since the Unix epoch
   * @param random source of the other bits
   * @return the key
   */
  public static IdempotencyKey create(final long millis, final RandomGenerator random) {
    final long high =
        millis << BITS_AFTER_TIME | TIME_ORDERED_VERSION << 12 | random.nextInt(1 << 12);
    final long low = Long.MIN_VALUE | random.nextLong() >>> 2;
    return new IdempotencyKey(new UUID(high, low));
  }

  /**
   * Returns the creation time.
   *
   * @return ms since the Unix epoch
   */
  public long millis() {
    return uuid.getMostSignificantBits() >>> BITS_AFTER_TIME;
  }

  /**
   * Returns the range of the key.
   *
   * @return a number from 0 to 15
   */
  public int range() {
    final long mixed = uuid.getMostSignificantBits() ^ uuid.getLeastSignificantBits();
    return (int) (mixed * HASH_FACTOR >>> RANGE_SHIFT);
  }
}
