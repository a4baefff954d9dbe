package org.lentilsail.standin.backend;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** One backend server: its listener, its connections and its reboots. */
public final class BackendServer implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;

  /** Delay in ms before binding is retried when the address is still in use. */
  private static final long BIND_RETRY_MILLIS = 50;

  private static final OptionMap OPTIONS =
      OptionMap.builder()
          .set(Options.TCP_NODELAY, true)
          .set(Options.REUSE_ADDRESSES, true)
          .set(Options.BACKLOG, 1_000)
          .getMap();

  /** I/O threads; owned by the creator of this object. */
  private final XnioWorker worker;

  private final BackendSettings settings;

  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

  private final RunQueue queue;

  /** Handles HTTP on new connections. */
  private final HttpOpenListener http = new HttpOpenListener(buffers, OptionMap.EMPTY);

  /** Open connections; closed ones are removed when the next one opens. */
  private final Set<StreamConnection> connections = ConcurrentHashMap.newKeySet();

  /** Address at which the server listens; the first start determines the port. */
  private volatile InetSocketAddress address;

  /** The listener, null while the server reboots. */
  private AcceptingChannel<StreamConnection> listener;

  /** Whether the server has been closed; it then does not boot again. */
  private boolean closed;

  private BackendServer(
      final XnioWorker worker, final InetSocketAddress address, final BackendSettings settings) {
    this.worker = worker;
    this.address = address;
    this.settings = settings;
    final Journal journal = new Journal();
    queue = new RunQueue(settings.slots(), journal);
    http.setRootHandler(new BackendHandler(settings, queue, journal, this::reboot));
  }

  /**
   * Starts a backend server.
   *
   * @param worker I/O threads; not closed by the server
   * @param address address at which it listens; port 0 lets the operating system choose
   * @param settings limits of the server
   * @return the running server
   * @throws IOException when the address cannot be bound
   */
  public static BackendServer start(
      final XnioWorker worker, final InetSocketAddress address, final BackendSettings settings)
      throws IOException {
    final BackendServer result = new BackendServer(worker, address, settings);
    result.listen();
    return result;
  }

  /**
   * Returns the address at which the server listens.
   *
   * @return the address with the actual port
   */
  public InetSocketAddress address() {
    return address;
  }

  @Override
  public synchronized void close() {
    closed = true;
    disconnect();
  }

  private synchronized void reboot() {
    queue.interruptRuns();
    disconnect();
    worker.getIoThread().executeAfter(this::boot, settings.rebootMillis(), TimeUnit.MILLISECONDS);
  }

  private synchronized void boot() {
    if (closed || listener != null) {
      return;
    }
    try {
      listen();
      queue.boot();
    } catch (final IOException error) {
      worker.getIoThread().executeAfter(this::boot, BIND_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void listen() throws IOException {
    final ChannelListener<StreamConnection> opened = this::open;
    listener =
        worker.createStreamConnectionServer(
            address, ChannelListeners.openListenerAdapter(opened), OPTIONS);
    address = listener.getLocalAddress(InetSocketAddress.class);
    listener.resumeAccepts();
  }

  private void open(final StreamConnection connection) {
    connections.removeIf(known -> !known.isOpen());
    if (connections.size() >= settings.connections()) {
      IoUtils.safeClose(connection);
    } else {
      connections.add(connection);
      http.handleEvent(connection);
    }
  }

  private void disconnect() {
    IoUtils.safeClose(listener);
    listener = null;
    connections.forEach(IoUtils::safeClose);
    connections.clear();
  }
}
