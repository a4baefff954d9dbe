package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.policy.job.JobRegistry;

/**
 * Guards against an operator who does not see why an organisation waits, or that it has no limit.
 */
class QuotaReportTest {
  private static final String ACME = "acme";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final DecisionLog log =
      new DecisionLog(
          new ManualTimeSource(0), new PrintStream(written, true, StandardCharsets.UTF_8));
  private final JobMetrics metrics = new JobMetrics(registry);
  private final JobRegistry jobs = new JobRegistry();
  private final QuotaReport report =
      new QuotaReport(
          new ControlContext(null, null, null, null, null, null, null, log, metrics, null), jobs);

  @Test
  void reportsHeldJobsAndOnceThatTheLimitIsGone() {
    configure(new Organisation(ACME, List.of("secret"), 1, new Resources(5, 0, 0)));
    report.report(Map.of(ACME, 7));
    assertThat(published(), containsString("7.0"));
    configure();
    report.report(Map.of());
    report.report(Map.of());
    assertThat(published(), not(containsString(ACME)));
    log.close();
    final String lines = written.toString(StandardCharsets.UTF_8);
    assertThat(lines, containsString("event=organisation-held organisation=acme jobs=7"));
    assertThat(lines.split("event=organisation-unknown", -1).length, is(2));
    assertThat(lines, not(containsString("secret")));
  }

  private void configure(final Organisation... organisations) {
    jobs.configuration(new JobConfiguration(1, List.of(), List.of(), 0, List.of(organisations)));
  }

  private String published() {
    return registry.scrape(name -> name.startsWith("lentilsail_organisation")).stream()
        .flatMap(metric -> metric.getDataPoints().stream())
        .map(GaugeDataPointSnapshot.class::cast)
        .map(point -> point.getLabels() + " " + point.getValue())
        .toList()
        .toString();
  }
}
