package org.lentilsail.system;

/**
 * Counts what callers saw during a load.
 *
 * @param ran requests with outcome ran and the response that belongs to them
 * @param refused requests with outcome not-run
 * @param unknown requests with outcome unknown
 * @param wrong requests whose response was another one's, was cut off, or had no outcome
 */
record LoadSummary(int ran, int refused, int unknown, int wrong) {
  /**
   * Returns the counts in words.
   *
   * @return one line
   */
  String text() {
    return "callers saw: "
        + ran
        + " ran, "
        + refused
        + " not run, "
        + unknown
        + " unknown, "
        + wrong
        + " wrong";
  }
}
