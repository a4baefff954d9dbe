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
 * Relays TCP connections from one process to another and injects network faults. The link can be
 * cut in one direction or in both: the relay then holds back bytes, as in a network that drops
 * packets, and new connections get no response. The relay can also delay bytes and reset its
 * connections.
 */
public final class LinkRelay implements AutoCloseable {
  /** Size in bytes of one read. */
  private static final int READ_BYTES = 64 * 1024;

  /** Timeout in ms for connecting to the target. */
  private static final int CONNECT_MILLIS = 1_000;

  private final ServerSocket listener;

  /** Port of the target on the loopback address. */
  private final int targetPort;

  /** Open sockets of both sides. */
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** Whether bytes to the target are held back; guarded by this. */
  private boolean cutToTarget;

  /** Whether bytes from the target are held back; guarded by this. */
  private boolean cutFromTarget;

  /** Delay in ms of the bytes of each read; guarded by this. */
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
   * Returns the port at which the relay listens.
   *
   * @return the port on the loopback address
   */
  public int port() {
    return listener.getLocalPort();
  }

  /**
   * Cuts or restores the link in both directions. Connections that are open when a cut ends are
   * closed, because their peers would have timed out.
   *
   * @param isCut whether the link is cut
   */
  public void cut(final boolean isCut) {
    cut(isCut, isCut);
  }

  /**
   * Cuts or restores each direction of the link.
   *
   * @param toTarget whether bytes to the target are held back
   * @param fromTarget whether bytes from the target are held back
   */
  public synchronized void cut(final boolean toTarget, final boolean fromTarget) {
    cutToTarget = toTarget;
    cutFromTarget = fromTarget;
    if (!toTarget && !fromTarget) {
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

  private synchronized void awaitLink(final boolean toTarget) throws InterruptedException {
    while (toTarget ? cutToTarget : cutFromTarget) {
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

  private void copy(final Socket from, final Socket to, final boolean toTarget) {
    try {
      final InputStream input = from.getInputStream();
      final OutputStream output = to.getOutputStream();
      final byte[] buffer = new byte[READ_BYTES];
      int count = input.read(buffer);
      while (count >= 0) {
        Thread.sleep(currentDelay());
        awaitLink(toTarget);
        output.write(buffer, 0, count);
        output.flush();
        count = input.read(buffer);
      }
    } catch (final IOException broken) {
      // One side has closed its connection; both sockets are closed below.
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
