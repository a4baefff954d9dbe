package org.lentilsail.policy.control;

/**
 * Asks the platform for an operation on a VM.
 *
 * @param vm name of the VM
 * @param operation what to do
 * @param bootGeneration boot generation for which the operation is meant
 */
public record OperateAction(String vm, Operation operation, long bootGeneration)
    implements ControlAction {}
