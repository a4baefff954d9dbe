package org.lentilsail.measure.waiting;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.HdrHistogram.Histogram;
import org.lentilsail.measure.MeasureCommand;

/** Compares the waits of short work under the product with simple baselines and a bound. */
public final class WaitingCommand implements MeasureCommand {
  /** Seeds when none are given; the result is stated as minimum, median and maximum. */
  private static final int DEFAULT_SEEDS = 5;

  /** Percentile that the goal is about. */
  private static final double GOAL_PERCENTILE = 99;

  /** Microseconds in a millisecond. */
  private static final double MICROS_PER_MILLI = 1_000;

  /** Format of a line of the table. */
  private static final String LINE = "%-20s %-26s %14s %14s %14s%n";

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
    System.out.printf(LINE, "contender", "figure", "minimum", "median", "maximum");
    for (final Contender contender : Contender.values()) {
      final List<JobStatistics> outcomes = new ArrayList<>();
      for (long seed = first; seed < first + seeds; seed++) {
        outcomes.add(contender.run(deployment, seed, failures));
      }
      print(contender, outcomes);
    }
    return 0;
  }

  private static void print(final Contender contender, final List<JobStatistics> outcomes) {
    wait(contender, "short", outcomes, outcome -> outcome.shortWait);
    if (contender != Contender.BOUND) {
      wait(contender, "long", outcomes, outcome -> outcome.longWait);
      line(contender, "short refused", outcomes, outcome -> outcome.shortRejected);
      line(contender, "long refused", outcomes, outcome -> outcome.longRejected);
      line(contender, "expired", outcomes, outcome -> outcome.expired);
      line(contender, "failed", outcomes, outcome -> outcome.failed);
      line(contender, "long completed", outcomes, outcome -> outcome.longCompleted);
      line(contender, "work completed, slot s", outcomes, outcome -> outcome.workNanos / 1e9);
    }
    line(contender, "short completed", outcomes, outcome -> outcome.shortCompleted);
  }

  /** Selects a histogram of an outcome. */
  private interface Waits {
    /**
     * Returns the histogram.
     *
     * @param outcome the outcome
     * @return its waits in us
     */
    Histogram of(JobStatistics outcome);
  }

  private static void wait(
      final Contender contender,
      final String kind,
      final List<JobStatistics> outcomes,
      final Waits waits) {
    line(contender, kind + " wait p50, ms", outcomes, o -> percentile(waits.of(o), 50));
    line(
        contender, kind + " wait p99, ms", outcomes, o -> percentile(waits.of(o), GOAL_PERCENTILE));
    line(contender, kind + " wait max, ms", outcomes, o -> percentile(waits.of(o), 100));
  }

  private static double percentile(final Histogram waits, final double percentile) {
    return waits.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private static void line(
      final Contender contender,
      final String figure,
      final List<JobStatistics> outcomes,
      final ToDoubleFunction<JobStatistics> value) {
    final double[] values = outcomes.stream().mapToDouble(value).sorted().toArray();
    System.out.printf(
        LINE,
        contender.label(),
        figure,
        format(values[0]),
        format(values[values.length / 2]),
        format(values[values.length - 1]));
  }

  private static String format(final double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
