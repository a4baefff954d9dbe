package org.lentilsail.standin.backend;

import java.util.random.RandomGenerator;

/**
 * The fault that a backend server shows at present.
 *
 * @param mode what happens
 * @param share part of the requests to which it happens, from 0 to 1
 * @param delayMillis time in ms by which a response is late, or for which a request hangs
 */
public record Failure(FailureMode mode, double share, long delayMillis) {
  /** Absence of faults. */
  static final Failure NONE = new Failure(FailureMode.NONE, 0, 0);

  /** Checks the values. */
  public Failure {
    if (mode == null || share < 0 || share > 1 || delayMillis < 0) {
      throw new IllegalArgumentException(
          "failure needs a mode, a share from 0 to 1 and a delayMillis that is not negative");
    }
  }

  /** Decides which fault one request meets. */
  FailureMode draw(final RandomGenerator random) {
    return mode != FailureMode.NONE && random.nextDouble() < share ? mode : FailureMode.NONE;
  }
}
