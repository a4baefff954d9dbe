package org.lentilsail.policy.control;

/** Something to be done once the fleet document has been written; each may be repeated. */
public sealed interface ControlAction permits OperateAction, ProbeAction {
  /**
   * Returns the VM that the action is about.
   *
   * @return name of the VM
   */
  String vm();
}
