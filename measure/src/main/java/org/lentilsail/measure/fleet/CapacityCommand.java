package org.lentilsail.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.lentilsail.measure.MeasureCommand;
import org.lentilsail.model.fleet.VmEntry;

/** Measures buffer cost and moves at demand that peaks in one queue after the other. */
public final class CapacityCommand implements MeasureCommand {
  /** Modelled time in ms. */
  private static final long RUN_MILLIS = 3_600_000;

  /** Slots of a VM. */
  private static final int SLOTS = 8;

  /** Slots that a peak asks for beyond the pool, as a factor. */
  private static final double PEAK = 1.25;

  /** Demand between peaks as a share of the peak: a twentieth of the mean, which is a fifth. */
  private static final double LOW = 0.01;

  /** Time in ms that the eager baseline needs for a move. */
  private static final long EAGER_MOVE_MILLIS = 8_000;

  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public int run(final String[] args) {
    final Deployment full = Deployment.named(Arguments.text(args, "--deployment", "paseos"));
    final int fleet = (int) Arguments.number(args, "--vms", full.size());
    final Deployment deployment = full.withSize(fleet);
    final long seed = Arguments.number(args, "--seed", 1);
    final int seeds = (int) Arguments.number(args, "--seeds", 5);
    final Samples samples = new Samples();
    for (long next = seed; next < seed + seeds; next++) {
      measure(full, deployment, next, samples);
    }
    samples.print(
        "capacity " + deployment.name() + ", " + fleet + " VMs, " + seeds + " seeds from " + seed);
    return 0;
  }

  private static void measure(
      final Deployment full, final Deployment deployment, final long seed, final Samples samples) {
    final Random random = new Random(seed);
    final FleetModel model = new FleetModel(deployment.records(true), deployment.vms(random));
    final List<int[]> demands = demands(full, random);
    final List<ModelVm> all = List.copyOf(model.vms.values());
    double asked = 0;
    double served = 0;
    double needed = 0;
    for (int i = 0; i < demands.size(); i++) {
      final int[] now = demands.get(i);
      for (int s = 0; s < now.length; s++) {
        model.demand.put("s" + s, now[s]);
      }
      if (i % 1_200 == 600) {
        all.get(random.nextInt(all.size())).failsUntil = model.now() + 300_000;
      }
      model.cutOff.clear();
      if (i > demands.size() / 2 && i < demands.size() / 2 + 240) {
        model.cutOff.add("z0");
      }
      model.tick();
      final int[] have = new int[now.length];
      for (final VmEntry vm : model.document.vms().values()) {
        if (model.serves(vm) && vm.pool().startsWith("p")) {
          have[Integer.parseInt(vm.pool().substring(1))]++;
        }
      }
      asked += sum(now);
      served += servedBy(now, have);
      needed += need(now);
    }
    report(deployment, samples, demands, model, new double[] {served / asked, needed});
  }

  private static void report(
      final Deployment deployment,
      final Samples samples,
      final List<int[]> demands,
      final FleetModel model,
      final double[] figures) {
    final double hours = FleetModel.TICK_MILLIS / 1_000.0;
    final int fixed = staticSize(demands, figures[0]);
    final int most = demands.stream().mapToInt(CapacityCommand::need).max().orElse(0);
    final int eager = eagerMoves(deployment, demands);
    final double product = (deployment.size() * (double) demands.size() - figures[1]) * hours;
    final double reserve = (fixed * (double) demands.size() - figures[1]) * hours;
    samples.add("demand served, product", figures[0]);
    samples.add("buffer VM-s, product", product);
    samples.add("buffer VM-s, static reserve", reserve);
    samples.add(
        "buffer VM-s, bound (foresight)", (most * (double) demands.size() - figures[1]) * hours);
    samples.add("buffer, product / static", product / reserve);
    samples.add("moves, product", model.moves);
    samples.add("moves, at once without hysteresis", eager);
    samples.add("moves, product / at once", model.moves / (double) eager);
    samples.add("budgets broken", model.broken);
    samples.add("reboots that cut off work", model.cutOffWork());
  }

  /** Demand per tick and service: one queue peaks at a time, with noise. */
  private static List<int[]> demands(final Deployment deployment, final Random random) {
    final List<int[]> result = new ArrayList<>();
    int peak = 0;
    while (result.size() < RUN_MILLIS / FleetModel.TICK_MILLIS) {
      final int ticks = 360 + random.nextInt(480);
      for (int i = 0; i < ticks; i++) {
        final int[] now = new int[deployment.pools().length];
        for (int s = 0; s < now.length; s++) {
          final double high = deployment.pools()[s] * SLOTS * PEAK;
          final double mean = s == peak ? high : high * LOW;
          now[s] = (int) Math.max(0, Math.round(mean * (1 + 0.1 * random.nextGaussian())));
        }
        result.add(now);
      }
      peak = (peak + 1) % deployment.pools().length;
    }
    return result.subList(0, (int) (RUN_MILLIS / FleetModel.TICK_MILLIS));
  }

  private static double servedBy(final int[] demand, final int[] have) {
    double result = 0;
    for (int s = 0; s < demand.length; s++) {
      result += Math.min(demand[s], have[s] * SLOTS);
    }
    return result;
  }

  private static int sum(final int[] values) {
    return java.util.Arrays.stream(values).sum();
  }

  private static int vmsFor(final int slots) {
    return (slots + SLOTS - 1) / SLOTS;
  }

  private static int need(final int[] demand) {
    return java.util.Arrays.stream(demand).map(CapacityCommand::vmsFor).sum();
  }

  /** VMs of pools of fixed size, without any failure, that serve at least a share of demand. */
  private static int staticSize(final List<int[]> demands, final double share) {
    final int[] have = new int[demands.get(0).length];
    final double asked = demands.stream().mapToDouble(CapacityCommand::sum).sum();
    double served = 0;
    while (served < share * asked) {
      int best = 0;
      double most = -1;
      for (int s = 0; s < have.length; s++) {
        have[s]++;
        final double now = demands.stream().mapToDouble(d -> servedBy(d, have)).sum();
        have[s]--;
        if (now > most) {
          most = now;
          best = s;
        }
      }
      have[best]++;
      served = most;
    }
    return sum(have);
  }

  /** Moves of a policy that follows demand at once and gives back what it does not need. */
  private static int eagerMoves(final Deployment deployment, final List<int[]> demands) {
    final int[] have = deployment.pools().clone();
    int spare = 0;
    int result = 0;
    final long step = EAGER_MOVE_MILLIS / FleetModel.TICK_MILLIS;
    for (int i = 0; i < demands.size(); i += (int) step) {
      final int[] now = demands.get(i);
      for (int s = 0; s < now.length; s++) {
        final int surplus = Math.max(0, have[s] - Math.max(3, vmsFor(now[s])));
        have[s] -= surplus;
        spare += surplus;
        result += surplus;
      }
      for (int s = 0; s < now.length; s++) {
        final int taken = Math.min(spare, Math.max(0, vmsFor(now[s]) - have[s]));
        have[s] += taken;
        spare -= taken;
        result += taken;
      }
    }
    return result;
  }
}
