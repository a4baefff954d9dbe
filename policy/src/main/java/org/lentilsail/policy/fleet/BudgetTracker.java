package org.lentilsail.policy.fleet;

import java.util.HashMap;
import java.util.Map;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.record.BudgetSpec;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.ServiceSpec;

/** Tracks the availability budgets of all pools, which waves, moves and holds share. */
public final class BudgetTracker {
  /** VMs that may be unavailable in the pool of a service without a budget record. */
  private static final int DEFAULT_ALLOWED = 1;

  /** Budgets by pool; pools without services have no entry. */
  private final Map<String, PoolBudget> poolBudgets = new HashMap<>();

  /**
   * Creates the budgets of all pools that have services.
   *
   * @param records the operators' records
   */
  BudgetTracker(final Records records) {
    final Map<String, BudgetSpec[]> byService = new HashMap<>();
    for (final BudgetSpec budget : records.budgets().values()) {
      byService.merge(budget.service(), new BudgetSpec[] {budget}, BudgetTracker::join);
    }
    for (final ServiceSpec service : records.services().values()) {
      final PoolBudget poolBudget =
          poolBudgets.computeIfAbsent(service.pool(), pool -> new PoolBudget(DEFAULT_ALLOWED));
      poolBudget.add(byService.getOrDefault(service.name(), new BudgetSpec[0]));
    }
  }

  private static BudgetSpec[] join(final BudgetSpec[] first, final BudgetSpec[] second) {
    final BudgetSpec[] both = java.util.Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }

  /**
   * Counts a VM that belongs to a pool.
   *
   * @param vm the VM
   * @param available whether the VM serves requests
   */
  void count(final VmEntry vm, final boolean available) {
    final PoolBudget poolBudget = poolBudgets.get(vm.pool());
    if (poolBudget != null) {
      poolBudget.count(vm.availabilityZone(), available);
    }
  }

  /**
   * Returns whether a VM may be taken out of service.
   *
   * @param vm the VM
   * @param available whether the VM serves requests now; a VM that does not needs no further budget
   * @return false when the budget of a service on the pool forbids it
   */
  boolean allows(final VmEntry vm, final boolean available) {
    final PoolBudget poolBudget = poolBudgets.get(vm.pool());
    return poolBudget == null || poolBudget.allows(vm.availabilityZone(), available);
  }

  /**
   * Counts an available VM as unavailable, whether the budget allows it or not.
   *
   * @param vm the VM
   */
  void markUnavailable(final VmEntry vm) {
    final PoolBudget poolBudget = poolBudgets.get(vm.pool());
    if (poolBudget != null) {
      poolBudget.markUnavailable(vm.availabilityZone());
    }
  }

  /**
   * Returns how many VMs of a pool are unavailable.
   *
   * @param pool name of the pool
   * @return the number of VMs, 0 for a pool without services
   */
  public int unavailable(final String pool) {
    final PoolBudget poolBudget = poolBudgets.get(pool);
    return poolBudget == null ? 0 : poolBudget.unavailable();
  }

  /**
   * Returns how many VMs of a pool may be unavailable by the strictest budget.
   *
   * @param pool name of the pool
   * @return the number of VMs, no limit for a pool without services
   */
  public int allowed(final String pool) {
    final PoolBudget poolBudget = poolBudgets.get(pool);
    return poolBudget == null ? Integer.MAX_VALUE : poolBudget.allowed();
  }
}
