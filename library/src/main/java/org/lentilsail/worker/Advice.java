package org.lentilsail.worker;

import java.util.Map;

/**
 * Answer of the advice service.
 *
 * @param permits permit by id of the workers that may run the step
 * @param validMillis time in ms for which the permits are valid
 */
public record Advice(Map<String, String> permits, long validMillis) {

  /** Copies the permits, so that the answer cannot change. */
  public Advice {
    permits = Map.copyOf(permits);
  }
}
