package org.lentilsail.system;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on the loopback address. */
final class FreePorts {
  private FreePorts() {}

  /**
   * Finds ports that are free at the moment. All are bound before any is released, so that they
   * differ.
   *
   * @param count how many
   * @return the ports
   * @throws IOException when no port can be bound
   */
  static List<Integer> find(final int count) throws IOException {
    final List<ServerSocket> sockets = new ArrayList<>();
    final List<Integer> result = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        result.add(socket.getLocalPort());
      }
    } finally {
      for (final ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return result;
  }
}
