package org.lentilsail.control;

import java.util.concurrent.CompletableFuture;

/** Sends a probe on the request path of a VM that verifies. */
@FunctionalInterface
public interface VmProbe {
  /**
   * Sends a probe.
   *
   * @param address IP address and port of the backend server
   * @param path path of the probe
   * @return whether the backend server gave a complete response that is not a server error
   */
  CompletableFuture<Boolean> probe(String address, String path);
}
