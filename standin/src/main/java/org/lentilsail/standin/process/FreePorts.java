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
   * Lowest port that is tried. All ports lie below the range that Linux gives to outgoing
   * connections, which could take a port between the search and the start of the process.
   */
  private static final int LOWEST = 10_000;

  /** Port above the highest one that is tried. */
  private static final int LIMIT = 32_000;

  /** Most ports that are tried. */
  private static final int MAX_TRIES = 10_000;

  private FreePorts() {}

  /**
   * Finds ports that are free at the moment.
   *
   * @param count how many
   * @return the ports, all different
   */
  public static List<Integer> find(final int count) {
    final Set<Integer> result = new LinkedHashSet<>();
    for (int i = 0; i < MAX_TRIES && result.size() < count; i++) {
      final int port = ThreadLocalRandom.current().nextInt(LOWEST, LIMIT);
      if (isFree(port)) {
        result.add(port);
      }
    }
    if (result.size() < count) {
      throw new IllegalStateException("found only " + result.size() + " of " + count + " ports");
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
