package org.lentilsail.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.model.record.BudgetSpec;

/** Counts the VMs of one pool against the availability budgets of the services on it. */
final class PoolBudget {
  /** VMs that may be unavailable when a service has no budget. */
  private final int defaultAllowed;

  /** Budgets of the services on the pool. */
  private final List<BudgetSpec> budgets = new ArrayList<>();

  /** Whether a service on the pool has no budget. */
  private boolean withoutBudget;

  /** Number of VMs that count as members of the pool. */
  private int size;

  /** Number of members that do not serve requests. */
  private int unavailable;

  /** Number of members that serve requests, by availability zone. */
  private final Map<String, Integer> availableByZone = new HashMap<>();

  /**
   * Creates the budget of a pool without VMs.
   *
   * @param defaultAllowed VMs that may be unavailable when a service has no budget
   */
  PoolBudget(final int defaultAllowed) {
    this.defaultAllowed = defaultAllowed;
  }

  /**
   * Adds the budgets of one service.
   *
   * @param ofService the budgets, empty when the service has none
   */
  void add(final BudgetSpec[] ofService) {
    withoutBudget |= ofService.length == 0;
    budgets.addAll(List.of(ofService));
  }

  /**
   * Counts a member.
   *
   * @param zone availability zone of the VM
   * @param available whether it serves requests
   */
  void count(final String zone, final boolean available) {
    size++;
    if (available) {
      availableByZone.merge(zone, 1, Integer::sum);
    } else {
      unavailable++;
    }
  }

  /**
   * Returns whether a member may be taken out of service.
   *
   * @param zone availability zone of the VM
   * @param available whether it serves requests now
   * @return false when a budget forbids it
   */
  boolean allows(final String zone, final boolean available) {
    final int cost = available ? 1 : 0;
    final int remaining = availableByZone.getOrDefault(zone, 0) - cost;
    boolean result = unavailable + cost <= allowed();
    for (final BudgetSpec budget : budgets) {
      result = result && (remaining >= budget.minimumPerZone() || cost == 0);
    }
    return result;
  }

  /**
   * Counts an available member as unavailable.
   *
   * @param zone availability zone of the VM
   */
  void markUnavailable(final String zone) {
    unavailable++;
    availableByZone.merge(zone, -1, Integer::sum);
  }

  /**
   * Returns the number of unavailable members.
   *
   * @return the number of VMs
   */
  int unavailable() {
    return unavailable;
  }

  /**
   * Returns how many members may be unavailable by the strictest budget.
   *
   * @return the number of VMs
   */
  int allowed() {
    int result = withoutBudget ? defaultAllowed : Integer.MAX_VALUE;
    for (final BudgetSpec budget : budgets) {
      result = Math.min(result, budget.allowed(size));
    }
    return result;
  }
}
