package org.lentilsail.policy.fleet;

import java.util.HashMap;
import java.util.Map;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.record.BudgetSpec;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.ServiceSpec;

/** Accounts for the availability budgets of all pools; waves, moves and holds spend from it. */
public final class BudgetTracker {
  /** VMs that may be unavailable in the pool of a service without a budget record. */
  private static final int DEFAULT_ALLOWED = 1;

  /** Accounts by pool; pools without services have none. */
  private final Map<String, PoolBudget> accounts = new HashMap<>();

  /**
   * Opens the accounts of all pools that have services.
   *
   * @param records the operators' records
   */
  BudgetTracker(final Records records) {
    final Map<String, BudgetSpec[]> byService = new HashMap<>();
    for (final BudgetSpec budget : records.budgets().values()) {
      byService.merge(budget.service(), new BudgetSpec[] {budget}, BudgetTracker::join);
    }
    for (final ServiceSpec service : records.services().values()) {
      final PoolBudget account =
          accounts.computeIfAbsent(service.pool(), pool -> new PoolBudget(DEFAULT_ALLOWED));
      account.add(byService.getOrDefault(service.name(), new BudgetSpec[0]));
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
    final PoolBudget account = accounts.get(vm.pool());
    if (account != null) {
      account.count(vm.availabilityZone(), available);
    }
  }

  /**
   * Tells whether a VM may be taken out of service.
   *
   * @param vm the VM
   * @param available whether the VM serves requests now; a VM that does not costs nothing more
   * @return false when the budget of a service on the pool forbids it
   */
  boolean allows(final VmEntry vm, final boolean available) {
    final PoolBudget account = accounts.get(vm.pool());
    return account == null || account.allows(vm.availabilityZone(), available);
  }

  /**
   * Takes a VM out of the available ones, whether the budget allows it or not.
   *
   * @param vm the VM
   */
  void markUnavailable(final VmEntry vm) {
    final PoolBudget account = accounts.get(vm.pool());
    if (account != null) {
      account.markUnavailable(vm.availabilityZone());
    }
  }

  /**
   * Returns how many VMs of a pool are unavailable.
   *
   * @param pool name of the pool
   * @return the number of VMs, 0 for a pool without services
   */
  public int unavailable(final String pool) {
    final PoolBudget account = accounts.get(pool);
    return account == null ? 0 : account.unavailable();
  }

  /**
   * Returns how many VMs of a pool may be unavailable by the strictest budget.
   *
   * @param pool name of the pool
   * @return the number of VMs, no limit for a pool without services
   */
  public int allowed(final String pool) {
    final PoolBudget account = accounts.get(pool);
    return account == null ? Integer.MAX_VALUE : account.allowed();
  }
}
