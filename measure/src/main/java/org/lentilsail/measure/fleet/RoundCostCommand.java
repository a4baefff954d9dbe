package org.lentilsail.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.lentilsail.measure.MeasureCommand;
import org.lentilsail.model.fleet.FleetCodec;

/** Measures the duration of a control round and the fleet document size at several fleet sizes. */
public final class RoundCostCommand implements MeasureCommand {
  /** Fleet sizes in workers. */
  private static final int[] WORKERS = {150, 300, 600, 1_200};

  /** Number of pools at the largest fleet size. */
  private static final int POOLS = 336;

  /** Rounds before the measurement, in which the JIT compiler optimises the code. */
  private static final int WARM_UP_ROUNDS = 150;

  /** Number of measured rounds. */
  private static final int MEASURED_ROUNDS = 200;

  @Override
  public String name() {
    return "round-cost";
  }

  @Override
  public int run(final String[] args) {
    for (final int workers : WORKERS) {
      final int[] pools = new int[POOLS * workers / WORKERS[WORKERS.length - 1]];
      for (int i = 0; i < workers; i++) {
        pools[i % pools.length]++;
      }
      final Deployment deployment = new Deployment("target", pools, 5);
      final FleetModel model =
          new FleetModel(deployment.records(true), deployment.vms(new java.util.Random(1)));
      for (int i = 0; i < pools.length; i++) {
        model.demand.put("s" + i, i % 5 == 0 ? 40 : 2);
      }
      final List<Long> micros = new ArrayList<>();
      for (int i = 0; i < WARM_UP_ROUNDS + MEASURED_ROUNDS; i++) {
        model.tick();
        if (i >= WARM_UP_ROUNDS) {
          micros.add(model.roundNanos / 1_000);
        }
      }
      micros.sort(null);
      System.out.printf(
          Locale.ROOT,
          "%5d workers %4d pools: round ms median %.2f p99 %.2f, document %d bytes%n",
          workers,
          pools.length,
          micros.get(MEASURED_ROUNDS / 2) / 1_000.0,
          micros.get(MEASURED_ROUNDS * 99 / 100) / 1_000.0,
          FleetCodec.write(model.document).toString().length());
    }
    return 0;
  }
}
