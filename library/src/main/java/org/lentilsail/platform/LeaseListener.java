package org.lentilsail.platform;

/** Is notified of acquired leases and of leases that are no longer known to be valid. */
public interface LeaseListener {
  /**
   * Reports that a lease was acquired.
   *
   * @param lease id of the lease
   */
  void leaseAcquired(String lease);

  /**
   * Reports that a lease has expired or may expire soon.
   *
   * @param lease id of the lease
   */
  void leaseLost(String lease);
}
