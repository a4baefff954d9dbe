package org.lentilsail.policy.control;

/**
 * Requests an operation on a VM from the platform.
 *
 * @param vm name of the VM
 * @param operation the operation
 * @param bootGeneration boot generation that the operation applies to
 */
public record OperateAction(String vm, Operation operation, long bootGeneration)
    implements ControlAction {}
