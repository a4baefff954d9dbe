package org.lentilsail.policy.dispatch;

/** Hears the decisions of a dispatcher; it must not call the dispatcher back. */
public interface DispatchListener {
  /**
   * A demand got a slot.
   *
   * @param id the demand
   * @param vm VM of the worker
   */
  void granted(DispatchRequestId id, String vm);

  /**
   * A demand gets no slot.
   *
   * @param id the demand
   * @param reason why not
   */
  void refused(DispatchRequestId id, RefusalReason reason);
}
