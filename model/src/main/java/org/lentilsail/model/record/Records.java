package org.lentilsail.model.record;

import java.util.List;
import java.util.Map;

/**
 * All records in their newest schema versions.
 *
 * @param pools pools by name
 * @param services services by name
 * @param budgets budgets by name of the record
 * @param waves waves by name
 * @param holds holds by name of the record
 */
public record Records(
    Map<String, PoolSpec> pools,
    Map<String, ServiceSpec> services,
    Map<String, BudgetSpec> budgets,
    Map<String, WaveSpec> waves,
    Map<String, HoldSpec> holds) {

  /** Copies the maps to make the records immutable. */
  public Records {
    pools = Map.copyOf(pools);
    services = Map.copyOf(services);
    budgets = Map.copyOf(budgets);
    waves = Map.copyOf(waves);
    holds = Map.copyOf(holds);
  }

  /**
   * Returns a set without records.
   *
   * @return the empty set
   */
  public static Records empty() {
    return new Records(Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
  }

  /**
   * Returns the budgets that protect a service.
   *
   * @param service name of the service
   * @return the budgets, empty when the service has none
   */
  public List<BudgetSpec> budgetsOf(final String service) {
    return budgets.values().stream().filter(budget -> budget.service().equals(service)).toList();
  }

  /**
   * Returns the services that are placed on a pool.
   *
   * @param pool name of the pool
   * @return the services, empty when the pool has none
   */
  public List<ServiceSpec> servicesOn(final String pool) {
    return services.values().stream().filter(service -> service.pool().equals(pool)).toList();
  }
}
