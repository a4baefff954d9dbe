package org.lentilsail.standin.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Carries TCP connections from one process to another and can be cut, also in one direction: while
 * it is cut, bytes stay where they are, as in a network that drops packets, and new connections get
 * no answer. It can also delay bytes and reset its connections.
 */
public final class LinkRelay implements AutoCloseable {
  /** Size in bytes of one read. */
  private static final int READ_BYTES = 64 * 1024;

  /** Time in ms allowed for opening the connection to the target. */
  private static final int CONNECT_MILLIS = 1_000;

  /** Where the relay listens. */
  private final ServerSocket listener;

  /** Port of the target on the loopback address. */
  private final int targetPort;

  /** Open sockets of both sides. */
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** Whether bytes to the target are held back; guarded by this. */
  private boolean cutThere;

  /** Whether bytes from the target are held back; guarded by this. */
  private boolean cutBack;

  /** Delay in ms of each read; guarded by this. */
  private long delayMillis;

  /**
   * Starts a relay.
   *
   * @param targetPort port of the target on the loopback address
   * @throws IOException when no port can be bound
   */
  public LinkRelay(final int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start("relay-accept", this::accept);
  }

  /**
   * Returns where the relay listens.
   *
   * @return the port on the loopback address
   */
  public int port() {
    return listener.getLocalPort();
  }

  /**
   * Cuts or restores the link. Connections that were open when a cut ends are closed, as their
   * peers would find them after a time-out.
   *
   * @param isCut whether the link is cut
   */
  public void cut(final boolean isCut) {
    cut(isCut, isCut);
  }

  /**
   * Cuts or restores each direction of the link.
   *
   * @param there whether bytes to the target are held back
   * @param back whether bytes from the target are held back
   */
  public synchronized void cut(final boolean there, final boolean back) {
    cutThere = there;
    cutBack = back;
    if (!there && !back) {
      closeSockets();
    }
    notifyAll();
  }

  /**
   * Delays all bytes.
   *
   * @param millis delay in ms, 0 for none
   */
  public synchronized void delay(final long millis) {
    delayMillis = millis;
  }

  /** Closes all open connections. */
  public void reset() {
    closeSockets();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    closeSockets();
    cut(false);
  }

  private synchronized void awaitLink(final boolean there) throws InterruptedException {
    while (there ? cutThere : cutBack) {
      wait();
    }
  }

  private synchronized long currentDelay() {
    return delayMillis;
  }

  private void closeSockets() {
    sockets.forEach(LinkRelay::closeQuietly);
    sockets.clear();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        final Socket source = listener.accept();
        sockets.add(source);
        start("relay-open", () -> open(source));
      } catch (final IOException closed) {
        return;
      }
    }
  }

  private void open(final Socket source) {
    try {
      awaitLink(true);
      final Socket target = new Socket();
      sockets.add(target);
      target.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), CONNECT_MILLIS);
      target.setTcpNoDelay(true);
      source.setTcpNoDelay(true);
      start("relay-out", () -> copy(source, target, true));
      copy(target, source, false);
    } catch (final IOException error) {
      closeQuietly(source);
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void copy(final Socket from, final Socket to, final boolean there) {
    try {
      final InputStream input = from.getInputStream();
      final OutputStream output = to.getOutputStream();
      final byte[] buffer = new byte[READ_BYTES];
      int count = input.read(buffer);
      while (count >= 0) {
        Thread.sleep(currentDelay());
        awaitLink(there);
        output.write(buffer, 0, count);
        output.flush();
        count = input.read(buffer);
      }
    } catch (final IOException broken) {
      // Either side has closed its connection; the other one is closed below.
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    closeQuietly(from);
    closeQuietly(to);
    sockets.remove(from);
    sockets.remove(to);
  }

  private static void start(final String name, final Runnable body) {
    final Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(final Socket socket) {
    try {
      socket.close();
    } catch (final IOException error) {
      // The socket is closed already.
    }
  }
}
