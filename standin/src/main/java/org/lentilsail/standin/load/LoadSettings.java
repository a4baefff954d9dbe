package org.lentilsail.standin.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What the load tool does.
 *
 * @param targets entry daemons, used in turn like by a balancer
 * @param backends backend servers whose journals judge the outcomes
 * @param service name of the service
 * @param requests number of requests besides repeats
 * @param ratePerSecond requests that start in a second, whether or not earlier ones have ended
 * @param keyedPercent share of keyed POST requests in percent; the rest are GET requests
 * @param repeatPercent share of the keyed requests in percent that are sent twice
 * @param bodyBytes size of a request body
 * @param runMillis run time in ms that a request asks of the backend server
 * @param timeoutMillis longest wait for one response
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

  /** Copies the lists, so that the settings cannot change. */
  public LoadSettings {
    targets = List.copyOf(targets);
    backends = List.copyOf(backends);
    if (targets.isEmpty() || requests < 1 || ratePerSecond < 1) {
      throw new IllegalArgumentException("load needs a target, requests and a rate");
    }
  }
}
