package org.lentilsail.worker;

import java.util.Map;

/**
 * Response of the advice service.
 *
 * @param permits permits of the workers that may run the step, by worker id
 * @param validMillis time in ms for which the permits are valid
 */
public record Advice(Map<String, String> permits, long validMillis) {

  /** Copies the permits to make the response immutable. */
  public Advice {
    permits = Map.copyOf(permits);
  }
}
