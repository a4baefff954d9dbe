package org.lentilsail.model.record;

/**
 * Describes an operator's word that a VM stays out of service.
 *
 * @param name name of the record
 * @param vm the VM
 * @param force whether the VM is drained even when the availability budget does not allow it
 * @param reason why, for other operators to read
 */
public record HoldSpec(String name, String vm, boolean force, String reason) {}
