package org.lentilsail.standin.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free ports on the loopback address. */
public final class FreePorts {
  /**
   * Lowest port to try. All ports are below the ephemeral port range of Linux, because an outgoing
   * connection could take an ephemeral port between the search and the start of the process.
   */
  private static final int MIN_PORT = 10_000;

  /** Exclusive upper bound of the ports to try. */
  private static final int PORT_LIMIT = 32_000;

  private static final int MAX_ATTEMPTS = 10_000;

  private FreePorts() {}

  /**
   * Finds ports that are currently free.
   *
   * @param count number of ports
   * @return the ports, all different
   */
  public static List<Integer> find(final int count) {
    final Set<Integer> result = new LinkedHashSet<>();
    for (int i = 0; i < MAX_ATTEMPTS && result.size() < count; i++) {
      final int port = ThreadLocalRandom.current().nextInt(MIN_PORT, PORT_LIMIT);
      if (isFree(port)) {
        result.add(port);
      }
    }
    if (result.size() < count) {
      throw new IllegalStateException(
          "found only " + result.size() + " of " + count + " free ports");
    }
    return List.copyOf(result);
  }

  private static boolean isFree(final int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (final IOException taken) {
      return false;
    }
  }
}
