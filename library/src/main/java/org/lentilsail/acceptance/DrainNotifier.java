package org.lentilsail.acceptance;

/** Takes a VM out of service on all reachable daemons while the platform is unavailable. */
public interface DrainNotifier {
  /**
   * Sends a drain notice to the peers and applies it locally.
   *
   * @param vm name of the VM
   * @param reason reason for the drain, shown to other operators
   */
  void broadcast(String vm, String reason);
}
