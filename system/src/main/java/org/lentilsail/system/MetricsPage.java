package org.lentilsail.system;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/** Reads values from the metrics of an entry daemon. */
final class MetricsPage {
  /** Time-out of a read. */
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  /** Sends the requests. */
  private final LocalHttpClient web;

  MetricsPage(final LocalHttpClient web) {
    this.web = web;
  }

  /**
   * Returns the sum of all samples with a name.
   *
   * @param adminPort operators' port of the daemon
   * @param name name of the samples
   * @return the sum, 0 when there is none
   */
  double sum(final int adminPort, final String name) {
    final String text =
        new String(
            web.send(adminPort, "GET", "/metrics", List.of(), "", TIMEOUT).body(),
            StandardCharsets.UTF_8);
    return text.lines()
        .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }
}
