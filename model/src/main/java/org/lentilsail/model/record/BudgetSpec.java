package org.lentilsail.model.record;

/**
 * Describes the availability budget of a service.
 *
 * @param name name of the record
 * @param service service that the budget protects
 * @param count maximum number of VMs that may be unavailable, negative when the budget is a
 *     percentage
 * @param percent maximum percentage of the pool's VMs that may be unavailable, negative when the
 *     budget is a count
 * @param minimumPerZone minimum number of VMs that stay available in each availability zone that
 *     has any
 */
public record BudgetSpec(String name, String service, int count, int percent, int minimumPerZone) {

  /**
   * Returns how many VMs may be unavailable at once.
   *
   * @param poolSize number of VMs in the pool
   * @return the number of VMs; a percentage is rounded down
   */
  public int allowed(final int poolSize) {
    return count >= 0 ? count : poolSize * percent / 100;
  }
}
