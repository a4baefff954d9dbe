package org.lentilsail.system;

/**
 * Counts what callers saw during a load.
 *
 * @param ran requests with outcome ran and the response that belongs to them
 * @param refused requests with outcome not-run
 * @param unknown requests with outcome unknown
 * @param wrong requests whose response was another one's, was cut off, or had no outcome
 * @param closed requests without a response from daemons that were ended or frozen on purpose
 */
record LoadSummary(int ran, int notRun, int unknown, int wrong, int closedByDaemon) {
  /**
   * Returns the counts in words.
   *
   * @return one line
   */
  String text() {
    return "callers saw: "
        + ran
        + " ran, "
        + notRun
        + " not run, "
        + unknown
        + " unknown, "
        + wrong
        + " wrong, "
        + closedByDaemon
        + " closed by daemons that were ended or frozen";
  }
}
