package org.lentilsail.model.record;

/**
 * Describes an operator's request to keep a VM out of service.
 *
 * @param name name of the record
 * @param vm the VM
 * @param force whether the VM is drained even when the availability budget does not allow it
 * @param reason reason of the hold, for other operators
 */
public record HoldSpec(String name, String vm, boolean force, String reason) {}
