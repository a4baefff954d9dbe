package org.lentilsail.policy.dispatch;

/** Receives the decisions of a dispatcher. Implementations must not call the dispatcher. */
public interface DispatchListener {
  /**
   * Called when a request is granted a slot.
   *
   * @param id id of the request
   * @param vm VM of the worker
   */
  void granted(DispatchRequestId id, String vm);

  /**
   * Called when a request is refused a slot.
   *
   * @param id id of the request
   * @param reason reason for the refusal
   */
  void refused(DispatchRequestId id, RefusalReason reason);
}
