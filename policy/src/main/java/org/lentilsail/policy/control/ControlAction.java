package org.lentilsail.policy.control;

/** An action to execute after the fleet document has been written. Actions may be repeated. */
public sealed interface ControlAction permits OperateAction, ProbeAction {
  /**
   * Returns the VM that the action applies to.
   *
   * @return name of the VM
   */
  String vm();
}
