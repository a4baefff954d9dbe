package org.lentilsail.measure.fleet;

import java.util.Random;
import org.lentilsail.measure.MeasureCommand;
import org.lentilsail.model.fleet.WaveProgress;

/** Compares the roll-out time of a wave over all pools with the bound that the budgets allow. */
public final class WavesCommand implements MeasureCommand {
  /** Limit of the simulated time in ms. */
  private static final long TIME_LIMIT_MILLIS = 7_200_000;

  @Override
  public String name() {
    return "waves";
  }

  @Override
  public int run(final String[] args) {
    final Deployment deployment = Deployment.named(Arguments.text(args, "--deployment", "paseos"));
    final long seed = Arguments.number(args, "--seed", 1);
    final int seeds = (int) Arguments.number(args, "--seeds", 5);
    final boolean loaded = "on".equals(Arguments.text(args, "--load", "off"));
    final Samples samples = new Samples();
    for (long next = seed; next < seed + seeds; next++) {
      measure(deployment, next, loaded, samples);
    }
    final String suffix = loaded ? " with demand and faults" : "";
    samples.print("waves " + deployment.name() + suffix + ", " + seeds + " seeds from " + seed);
    return 0;
  }

  private static void measure(
      final Deployment deployment, final long seed, final boolean loaded, final Samples samples) {
    final FleetModel model =
        new FleetModel(deployment.records(true), deployment.vms(new Random(seed)));
    double bound = 0;
    double oneByOne = 0;
    for (int pool = 0; pool < deployment.pools().length; pool++) {
      final String name = "p" + pool;
      final double outOfServiceMillis =
          model.vms.values().stream()
              .filter(vm -> vm.pool.equals(name))
              .mapToLong(vm -> vm.workMillis + ModelVm.REBOOT_MILLIS)
              .sum();
      bound = Math.max(bound, outOfServiceMillis / Deployment.MAX_UNAVAILABLE_VMS);
      oneByOne += outOfServiceMillis;
    }
    final DemandCurve curve =
        new DemandCurve(deployment, seed, (int) (TIME_LIMIT_MILLIS / FleetModel.TICK_MILLIS));
    int tick = 0;
    long finished = 0;
    while (finished == 0 && model.now() < TIME_LIMIT_MILLIS) {
      if (loaded) {
        curve.apply(model, tick);
      }
      tick++;
      model.tick();
      final WaveProgress wave = model.document.waves().get("w");
      finished = wave == null ? 0 : wave.finishedMillis();
    }
    samples.add("roll-out s, product", model.now() / 1_000.0);
    samples.add("roll-out s, bound of the budgets", bound / 1_000);
    samples.add("roll-out s, one VM at a time", oneByOne / 1_000);
    samples.add("product / bound", model.now() / bound);
    samples.add("budgets broken", model.brokenBudgets);
    samples.add("reboots that cut off work", model.rebootsDuringWork());
  }
}
