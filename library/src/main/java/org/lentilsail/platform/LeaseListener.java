package org.lentilsail.platform;

/** Learns when a lease is held and when it is no longer surely held. */
public interface LeaseListener {
  /**
   * Reports a new lease.
   *
   * @param lease id of the lease
   */
  void leaseAcquired(String lease);

  /**
   * Reports that a lease has lapsed or may lapse soon.
   *
   * @param lease id of the lease
   */
  void leaseLost(String lease);
}
