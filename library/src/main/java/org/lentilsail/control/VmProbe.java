package org.lentilsail.control;

import java.util.concurrent.CompletableFuture;

/**
 * Sends a probe to the backend server of a VM that is verifying, over the same path as requests.
 */
@FunctionalInterface
public interface VmProbe {
  /**
   * Sends a probe.
   *
   * @param address IP address and port of the backend server
   * @param path path of the probe
   * @return whether the backend server sent a complete response that is not a server error
   */
  CompletableFuture<Boolean> probe(String address, String path);
}
