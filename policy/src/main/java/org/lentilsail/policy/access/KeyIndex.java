package org.lentilsail.policy.access;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lentilsail.model.job.Organisation;

/**
 * Finds the organisation of a key. The index holds digests, so that the time of a lookup neither
 * grows with the number of keys nor depends on how much of a key is right. Immutable.
 */
final class KeyIndex {
  private final Map<ByteBuffer, Entry> entries = new HashMap<>();

  /**
   * A key.
   *
   * @param digest digest of the key
   * @param organisation name of its organisation
   */
  private record Entry(byte[] digest, String organisation) {}

  KeyIndex(final Collection<Organisation> organisations) {
    for (final Organisation organisation : organisations) {
      for (final String key : organisation.apiKeys()) {
        final byte[] digest = digest(key.getBytes(StandardCharsets.UTF_8));
        entries.put(ByteBuffer.wrap(digest), new Entry(digest, organisation.name()));
      }
    }
  }

  /**
   * Finds the organisation of a key.
   *
   * @param key the key as received
   * @return name of the organisation, empty if the key is unknown
   */
  Optional<String> organisation(final byte[] key) {
    final byte[] digest = digest(key);
    final Entry entry = entries.get(ByteBuffer.wrap(digest));
    return entry != null && MessageDigest.isEqual(entry.digest(), digest)
        ? Optional.of(entry.organisation())
        : Optional.empty();
  }

  private static byte[] digest(final byte[] key) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(key);
    } catch (final NoSuchAlgorithmException error) {
      throw new IllegalStateException("every Java platform has SHA-256", error);
    }
  }
}
