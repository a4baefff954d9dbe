package org.lentilsail.measure.fleet;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.LongStream;
import org.lentilsail.measure.MeasureCommand;
import org.lentilsail.policy.capacity.MovePolicy;
import org.lentilsail.policy.capacity.PolicyWeights;

/**
 * Compares buffer cost and moves of move policies under demand that peaks in one service after the
 * other. Every contender runs in the control round with the same demand, faults, wave and budgets,
 * in the smallest fleet with which it serves the target share of demand.
 */
public final class CapacityCommand implements MeasureCommand {
  /** Simulated time in ms. */
  private static final long RUN_MILLIS = 3_600_000;

  /** Fleet size in VMs that is too small for every contender. */
  private static final int MIN_VMS = 4;

  /** Largest fleet size in VMs that is tried; more than 1.5 times the largest real fleet. */
  private static final int MAX_VMS = 68;

  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public int run(final String[] args) {
    final Deployment full = Deployment.named(Arguments.text(args, "--deployment", "paseos"));
    final long seed = Arguments.number(args, "--seed", 1);
    final int seeds = (int) Arguments.number(args, "--seeds", 5);
    final double target = Arguments.number(args, "--served-percent", 97) / 100.0;
    final PolicyWeights weights = weights(args);
    final Samples samples = new Samples();
    LongStream.range(seed, seed + seeds)
        .parallel()
        .mapToObj(next -> measure(full, next, target, weights))
        .forEachOrdered(samples::addAll);
    samples.print(
        String.format(
            Locale.ROOT,
            "capacity %s, %.2f of demand served, %d seeds from %d",
            full.name(),
            target,
            seeds,
            seed));
    return 0;
  }

  private static PolicyWeights weights(final String[] args) {
    return new PolicyWeights(
        Arguments.number(args, "--weight-buffer", 1),
        1,
        Arguments.number(args, "--weight-moves", 1),
        Arguments.number(args, "--weight-waiting", 1));
  }

  private static Samples measure(
      final Deployment full, final long seed, final double target, final PolicyWeights weights) {
    final Samples samples = new Samples();
    final DemandCurve curve =
        new DemandCurve(full, seed, (int) (RUN_MILLIS / FleetModel.TICK_MILLIS));
    new CapacityRun(full, curve, seed, null, weights).add(samples, "product, real", full.size());
    final Map<String, MovePolicy> contenders = new LinkedHashMap<>();
    contenders.put("product", null);
    contenders.put("static", (view, reports) -> {});
    contenders.put("at once", new ImmediateMovePolicy(false));
    contenders.put("at once with return", new ImmediateMovePolicy(true));
    final Map<String, CapacityRun> runs = new LinkedHashMap<>();
    contenders.forEach(
        (name, policy) -> {
          int tooFew = MIN_VMS;
          int enough = MAX_VMS;
          CapacityRun best = new CapacityRun(full.withSize(enough), curve, seed, policy, weights);
          while (best.servedShare >= target && enough - tooFew > 1) {
            final int vms = (tooFew + enough) / 2;
            final CapacityRun run =
                new CapacityRun(full.withSize(vms), curve, seed, policy, weights);
            if (run.servedShare >= target) {
              enough = vms;
              best = run;
            } else {
              tooFew = vms;
            }
          }
          runs.put(name, best);
          best.add(samples, name, enough);
        });
    samples.add("bound with foresight: VMs", curve.peakVms());
    final CapacityRun product = runs.get("product");
    runs.forEach(
        (name, run) -> {
          if (run != product) {
            // A baseline that misses the target with MAX_VMS has no comparable fleet size.
            final boolean targetReached = run.servedShare >= target;
            samples.add(name + ": service reached", targetReached ? 1 : 0);
            samples.add("buffer, product / " + name, product.bufferVmSeconds / run.bufferVmSeconds);
            if (run.moves > 0) {
              samples.add("moves, product / " + name, product.moves / (double) run.moves);
            }
          }
        });
    return samples;
  }
}
