package org.lentilsail.measure.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.lentilsail.model.record.BudgetSpec;
import org.lentilsail.model.record.PoolSpec;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.ResumeMode;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.model.record.WaveSpec;

/**
 * Pool sizes and zones of a deployment.
 *
 * @param name name of the deployment
 * @param pools VMs of each service's pool
 * @param zones number of availability zones
 */
record Deployment(String name, int[] pools, int zones) {
  /** Availability budget: VMs of a service that may be unavailable at the same time. */
  static final int MAX_UNAVAILABLE_VMS = 2;

  /** Upper bound in ms for the remaining work that a drain waits for. */
  private static final int MAX_WORK_MILLIS = 8_000;

  static Deployment named(final String name) {
    return switch (name) {
      case "fairway" -> new Deployment(name, new int[] {9, 7, 7, 6, 6}, 3);
      case "paseos" -> new Deployment(name, new int[] {8, 8, 8, 8, 8}, 4);
      default -> throw new IllegalArgumentException("--deployment must be fairway or paseos");
    };
  }

  /** Returns this deployment scaled to a number of VMs, in proportion to its pool sizes. */
  Deployment withSize(final int vms) {
    final int[] sizes = new int[pools.length];
    for (int i = 0; i < vms; i++) {
      int next = 0;
      for (int pool = 1; pool < pools.length; pool++) {
        // The next VM goes to the pool with the lowest (size + 1) / original size, compared by
        // cross multiplication.
        if ((sizes[pool] + 1) * pools[next] < (sizes[next] + 1) * pools[pool]) {
          next = pool;
        }
      }
      sizes[next]++;
    }
    return new Deployment(name, sizes, zones);
  }

  int size() {
    return java.util.Arrays.stream(pools).sum();
  }

  List<ModelVm> vms(final Random random) {
    final List<ModelVm> result = new ArrayList<>();
    for (int pool = 0; pool < pools.length; pool++) {
      for (int i = 0; i < pools[pool]; i++) {
        final int number = result.size();
        final int zone = number % zones;
        final String rack = "r" + zone + "-" + number / (4 * zones);
        result.add(
            new ModelVm(
                "vm" + number, "p" + pool, "z" + zone, rack, random.nextInt(MAX_WORK_MILLIS)));
      }
    }
    return result;
  }

  Records records(final boolean wave) {
    final Map<String, PoolSpec> poolSpecs = new HashMap<>();
    final Map<String, ServiceSpec> services = new HashMap<>();
    final Map<String, BudgetSpec> budgets = new HashMap<>();
    for (int i = 0; i < pools.length; i++) {
      poolSpecs.put("p" + i, new PoolSpec("p" + i, false, 3, 0, ""));
      services.put("s" + i, new ServiceSpec("s" + i, "p" + i, "/", 30_000, 200, 256, Map.of()));
      budgets.put("s" + i, new BudgetSpec("s" + i, "s" + i, MAX_UNAVAILABLE_VMS, -1, 0));
    }
    poolSpecs.put("spare", new PoolSpec("spare", true, 0, 0, ""));
    final List<String> all =
        List.copyOf(services.values().stream().map(ServiceSpec::pool).toList());
    final WaveSpec spec =
        new WaveSpec("w", all, size(), 1, 9, ResumeMode.AUTOMATIC, false, 300, 300, 0, 0);
    return new Records(poolSpecs, services, budgets, wave ? Map.of("w", spec) : Map.of(), Map.of());
  }
}
