package org.lentilsail.standin.backend;

import java.util.random.RandomGenerator;

/**
 * A fault that is injected into a backend server.
 *
 * @param mode kind of the fault
 * @param share fraction of the requests that are affected, from 0 to 1
 * @param delayMillis time in ms by which a response is late, or for which a request hangs
 */
public record Failure(FailureMode mode, double share, long delayMillis) {
  /** No fault. */
  static final Failure NONE = new Failure(FailureMode.NONE, 0, 0);

  /** Checks the values. */
  public Failure {
    if (mode == null || share < 0 || share > 1 || delayMillis < 0) {
      throw new IllegalArgumentException(
          "failure needs a mode, a share from 0 to 1 and a delayMillis that is not negative");
    }
  }

  /** Selects at random the fault of one request. */
  FailureMode draw(final RandomGenerator random) {
    return mode != FailureMode.NONE && random.nextDouble() < share ? mode : FailureMode.NONE;
  }
}
