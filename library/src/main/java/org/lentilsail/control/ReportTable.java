package org.lentilsail.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lentilsail.model.fleet.DaemonReport;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.policy.fleet.ReceivedReport;

/** Holds the last report of each daemon with the time of its arrival; thread-safe. */
final class ReportTable {
  /** Age in ms after which a report is discarded. */
  private static final long MAX_AGE_MILLIS = 60_000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final TimeSource time;

  /** Reports by daemon. */
  private final Map<String, DaemonReport> reports = new TreeMap<>();

  /** Monotonic time of arrival by daemon. */
  private final Map<String, Long> arrivals = new TreeMap<>();

  /**
   * Creates an empty table.
   *
   * @param time clock of the arrivals
   */
  ReportTable(final TimeSource time) {
    this.time = time;
  }

  /**
   * Stores a report, unless it is based on an earlier fleet revision than the daemon's last one and
   * has therefore arrived out of order.
   *
   * @param report the report
   */
  synchronized void put(final DaemonReport report) {
    final DaemonReport last = reports.get(report.daemon());
    if (last == null || last.fleetRevision() <= report.fleetRevision()) {
      reports.put(report.daemon(), report);
      arrivals.put(report.daemon(), time.nanos());
    }
  }

  /**
   * Returns the reports with their ages.
   *
   * @return the reports in order of daemon
   */
  synchronized List<ReceivedReport> all() {
    final List<ReceivedReport> result = new ArrayList<>();
    final long now = time.nanos();
    arrivals.values().removeIf(arrival -> now - arrival > MAX_AGE_MILLIS * NANOS_PER_MILLI);
    reports.keySet().retainAll(arrivals.keySet());
    reports.forEach(
        (daemon, report) ->
            result.add(new ReceivedReport(report, (now - arrivals.get(daemon)) / NANOS_PER_MILLI)));
    return result;
  }
}
