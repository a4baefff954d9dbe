package org.lentilsail.dispatch;

/** A slot on a worker; whoever acquired it has to release it exactly once. */
public interface Slot {
  /**
   * Returns the VM of the worker.
   *
   * @return name of the VM
   */
  String vm();

  /**
   * Returns the address at which the worker listens.
   *
   * @return IP address and port as {@code host:port}
   */
  String address();

  /**
   * Releases the slot; later calls have no effect.
   *
   * @param result outcome of the request that used the slot
   * @param runMillis time in ms that the request took on the worker
   */
  void release(SlotResult result, long runMillis);
}
