package org.lentilsail.policy.control;

/**
 * Sends a probe to a verifying VM that has received no requests.
 *
 * @param vm name of the VM
 * @param address IP address and port of its backend server
 * @param path path of the probe
 */
public record ProbeAction(String vm, String address, String path) implements ControlAction {}
