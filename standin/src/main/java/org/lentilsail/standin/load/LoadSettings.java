package org.lentilsail.standin.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of the load tool.
 *
 * @param targets entry daemons, used round-robin as by a load balancer
 * @param backends backend servers whose journals are compared with the outcomes
 * @param service name of the service
 * @param requests number of requests, not counting repeats
 * @param ratePerSecond requests started per second, whether or not earlier ones have completed
 * @param keyedPercent share of keyed POST requests in percent; the rest are GET requests
 * @param repeatPercent share of the keyed requests in percent that are sent twice
 * @param bodyBytes size of a request body in bytes
 * @param runMillis run time in ms that a request specifies to the backend server
 * @param timeoutMillis timeout of one response in ms
 */
public record LoadSettings(
    List<InetSocketAddress> targets,
    List<InetSocketAddress> backends,
    String service,
    int requests,
    int ratePerSecond,
    int keyedPercent,
    int repeatPercent,
    int bodyBytes,
    long runMillis,
    long timeoutMillis) {

  /** Checks the values and copies the lists, so that the settings are immutable. */
  public LoadSettings {
    targets = List.copyOf(targets);
    backends = List.copyOf(backends);
    if (targets.isEmpty() || requests < 1 || ratePerSecond < 1) {
      throw new IllegalArgumentException(
          "load needs at least one target, one request and one request per second");
    }
  }
}
