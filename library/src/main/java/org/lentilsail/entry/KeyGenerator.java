package org.lentilsail.entry;

import java.util.List;

/** Creates idempotency keys for callers. */
@FunctionalInterface
public interface KeyGenerator {
  /**
   * Creates keys in the key ranges that this daemon owns.
   *
   * @param count number of keys
   * @return the keys; empty when the daemon owns no key range
   */
  List<String> generate(int count);
}
