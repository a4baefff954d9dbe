package org.lentilsail.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Answers each request with fixed bytes, so that tests can send malformed or truncated responses.
 */
final class RawServer implements AutoCloseable {
  private final ServerSocket socket;

  private final AtomicInteger connections = new AtomicInteger();

  RawServer(final String response, final boolean closeAfterwards) throws IOException {
    socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    final Thread thread = new Thread(() -> accept(response, closeAfterwards), "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
  }

  int connections() {
    return connections.get();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private void accept(final String response, final boolean closeAfterwards) {
    while (!socket.isClosed()) {
      try {
        final Socket client = socket.accept();
        connections.incrementAndGet();
        final Thread thread = new Thread(() -> serve(client, response, closeAfterwards));
        thread.setDaemon(true);
        thread.start();
      } catch (final IOException error) {
        return;
      }
    }
  }

  private static void serve(
      final Socket client, final String response, final boolean closeAfterwards) {
    try (client) {
      final InputStream input = client.getInputStream();
      while (readHead(input)) {
        client.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        client.getOutputStream().flush();
        if (closeAfterwards) {
          return;
        }
      }
    } catch (final IOException error) {
      // Some tests let the client close the connection.
    }
  }

  private static boolean readHead(final InputStream input) throws IOException {
    final StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      final int next = input.read();
      if (next < 0) {
        return false;
      }
      head.append((char) next);
    }
    return true;
  }
}
