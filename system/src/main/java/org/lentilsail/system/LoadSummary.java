package org.lentilsail.system;

/**
 * Number of requests by the outcome that their callers saw during a load.
 *
 * @param ran requests with outcome ran and their own response
 * @param notRun requests with outcome not-run
 * @param unknown requests with outcome unknown
 * @param wrong requests with the response of another request, a truncated response or no outcome
 * @param closedByDaemon requests without a response from a daemon that the test killed or froze
 */
record LoadSummary(int ran, int notRun, int unknown, int wrong, int closedByDaemon) {
  /**
   * Formats the counts for the output.
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
