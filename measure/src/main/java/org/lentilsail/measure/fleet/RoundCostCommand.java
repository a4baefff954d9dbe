package org.lentilsail.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.lentilsail.measure.MeasureCommand;
import org.lentilsail.model.fleet.FleetCodec;

/** Measures the time of one control round and the size of the document at growing fleets. */
public final class RoundCostCommand implements MeasureCommand {
  /** Numbers of workers. */
  private static final int[] WORKERS = {150, 300, 600, 1_200};

  /** Pools at the largest number of workers. */
  private static final int POOLS = 336;

  /** Rounds before the measurement, in which the code is compiled. */
  private static final int WARM_UP = 150;

  /** Measured rounds. */
  private static final int ROUNDS = 200;

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
      for (int i = 0; i < WARM_UP + ROUNDS; i++) {
        model.tick();
        if (i >= WARM_UP) {
          micros.add(model.roundNanos / 1_000);
        }
      }
      micros.sort(null);
      System.out.printf(
          Locale.ROOT,
          "%5d workers %4d pools: round ms median %.2f p99 %.2f, document %d bytes%n",
          workers,
          pools.length,
          micros.get(ROUNDS / 2) / 1_000.0,
          micros.get(ROUNDS * 99 / 100) / 1_000.0,
          FleetCodec.write(model.document).toString().length());
    }
    return 0;
  }
}
