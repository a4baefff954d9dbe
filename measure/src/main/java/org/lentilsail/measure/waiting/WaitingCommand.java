package org.lentilsail.measure.waiting;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.HdrHistogram.Histogram;
import org.lentilsail.measure.MeasureCommand;

/** Compares the waits of short jobs in the product with those in simple baselines and a bound. */
public final class WaitingCommand implements MeasureCommand {
  /** Default number of seeds; the results are printed as minimum, median and maximum over them. */
  private static final int DEFAULT_SEEDS = 5;

  /** Percentile for which the latency objective is defined. */
  private static final double OBJECTIVE_PERCENTILE = 99;

  private static final double MICROS_PER_MILLI = 1_000;

  /** Format of a line of the printed table. */
  private static final String LINE_FORMAT = "%-20s %-26s %14s %14s %14s%n";

  @Override
  public String name() {
    return "waiting";
  }

  @Override
  public int run(final String[] args) {
    final OptionParser parser = new OptionParser();
    parser.accepts("deployment").withRequiredArg().defaultsTo("fairway");
    parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    parser.accepts("seeds").withRequiredArg().ofType(Integer.class).defaultsTo(DEFAULT_SEEDS);
    parser.accepts("failures").withRequiredArg().ofType(Boolean.class).defaultsTo(true);
    final OptionSet options = parser.parse(args);
    final Deployment deployment = Deployment.named((String) options.valueOf("deployment"));
    final long first = (Long) options.valueOf("seed");
    final int seeds = (Integer) options.valueOf("seeds");
    final boolean failures = (Boolean) options.valueOf("failures");
    System.out.printf(
        "deployment %s, seeds %d to %d, failures %s%n",
        deployment.name(), first, first + seeds - 1, failures);
    System.out.printf(LINE_FORMAT, "contender", "figure", "minimum", "median", "maximum");
    for (final Contender contender : Contender.values()) {
      final List<JobStatistics> statistics = new ArrayList<>();
      for (long seed = first; seed < first + seeds; seed++) {
        statistics.add(contender.run(deployment, seed, failures));
      }
      print(contender, statistics);
    }
    return 0;
  }

  private static void print(final Contender contender, final List<JobStatistics> statistics) {
    printWaits(contender, "short", statistics, each -> each.shortWait);
    if (contender != Contender.BOUND) {
      printWaits(contender, "long", statistics, each -> each.longWait);
      printLine(contender, "short refused", statistics, each -> each.shortRejected);
      printLine(contender, "long refused", statistics, each -> each.longRejected);
      printLine(contender, "expired", statistics, each -> each.expired);
      printLine(contender, "failed", statistics, each -> each.failed);
      printLine(contender, "long completed", statistics, each -> each.longCompleted);
      printLine(contender, "work completed, slot s", statistics, each -> each.workNanos / 1e9);
    }
    printLine(contender, "short completed", statistics, each -> each.shortCompleted);
  }

  /** Selects a histogram of the statistics. */
  private interface WaitSelector {
    /**
     * Returns the histogram.
     *
     * @param statistics the statistics
     * @return waits in us
     */
    Histogram of(JobStatistics statistics);
  }

  private static void printWaits(
      final Contender contender,
      final String kind,
      final List<JobStatistics> statistics,
      final WaitSelector selector) {
    printLine(
        contender, kind + " wait p50, ms", statistics, each -> percentile(selector.of(each), 50));
    printLine(
        contender,
        kind + " wait p99, ms",
        statistics,
        each -> percentile(selector.of(each), OBJECTIVE_PERCENTILE));
    printLine(
        contender, kind + " wait max, ms", statistics, each -> percentile(selector.of(each), 100));
  }

  private static double percentile(final Histogram waits, final double percentile) {
    return waits.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private static void printLine(
      final Contender contender,
      final String metric,
      final List<JobStatistics> statistics,
      final ToDoubleFunction<JobStatistics> value) {
    final double[] values = statistics.stream().mapToDouble(value).sorted().toArray();
    System.out.printf(
        LINE_FORMAT,
        contender.label(),
        metric,
        format(values[0]),
        format(values[values.length / 2]),
        format(values[values.length - 1]));
  }

  private static String format(final double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
