package org.lentilsail.system;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/** Reads sample values from the metrics page of an entry daemon. */
final class MetricsPage {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

  private final LocalHttpClient httpClient;

  MetricsPage(final LocalHttpClient httpClient) {
    this.httpClient = httpClient;
  }

  /**
   * Returns the sum of all samples of a metric, over all its labels.
   *
   * @param adminPort operators' port of the daemon
   * @param name name of the metric
   * @return the sum, 0 when the metric has no samples
   */
  double sum(final int adminPort, final String name) {
    final String text =
        new String(
            httpClient.send(adminPort, "GET", "/metrics", List.of(), "", READ_TIMEOUT).body(),
            StandardCharsets.UTF_8);
    return text.lines()
        .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }
}
