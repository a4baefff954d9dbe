package org.lentilsail.entry;

import java.util.List;

/** Creates idempotency keys for callers. */
@FunctionalInterface
public interface KeyGenerator {
  /**
   * Creates keys that this daemon owns.
   *
   * @param count number of keys
   * @return the keys; empty when the daemon owns no range of keys
   */
  List<String> generate(int count);
}
