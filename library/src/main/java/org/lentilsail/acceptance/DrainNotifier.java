package org.lentilsail.acceptance;

/** Takes a VM out of use on all reachable daemons while the platform is down. */
public interface DrainNotifier {
  /**
   * Sends the notice to the peers and applies it locally.
   *
   * @param vm name of the VM
   * @param reason why, for other operators to read
   */
  void broadcast(String vm, String reason);
}
