package org.lentilsail.dispatch;

/** A slot on a worker that the holder has to release exactly once. */
public interface Slot {
  /**
   * Returns the VM of the worker.
   *
   * @return name of the VM
   */
  String vm();

  /**
   * Returns where the worker listens.
   *
   * @return IP address and port as {@code host:port}
   */
  String address();

  /**
   * Gives the slot back; later calls do nothing.
   *
   * @param result how the use ended
   * @param runMillis time in ms that the request took on the worker
   */
  void release(SlotResult result, long runMillis);
}
