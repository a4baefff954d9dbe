package org.lentilsail.platform;

import java.util.List;

/**
 * All keys with a prefix at one revision.
 *
 * @param values the keys and values
 * @param revision revision of the key-value service at which the values were read
 */
public record Listing(List<VersionedValue> values, long revision) {
  /** Copies the list, so that the listing is immutable. */
  public Listing {
    values = List.copyOf(values);
  }
}
