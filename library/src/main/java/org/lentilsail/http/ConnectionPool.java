package org.lentilsail.http;

import io.undertow.client.ClientConnection;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.lentilsail.model.time.TimeSource;
import org.xnio.IoUtils;

/** Pools idle connections; a connection in use is exclusive to one request. */
final class ConnectionPool {
  /** Maximum idle connections per server; a worker has 8 slots. */
  private static final int MAX_IDLE = 8;

  /** Idle time in ns after which a connection is closed instead of reused. */
  private static final long MAX_IDLE_NANOS = 20_000_000_000L;

  /** Idle connections by server, the most recently used one last. */
  private final Map<InetSocketAddress, ConcurrentLinkedDeque<IdleConnection>> idle =
      new ConcurrentHashMap<>();

  private final TimeSource time;

  ConnectionPool(final TimeSource time) {
    this.time = time;
  }

  Optional<ClientConnection> acquire(final InetSocketAddress target) {
    final ConcurrentLinkedDeque<IdleConnection> connections = idle.get(target);
    Optional<ClientConnection> result = Optional.empty();
    while (connections != null && result.isEmpty()) {
      final IdleConnection candidate = connections.pollLast();
      if (candidate == null) {
        break;
      }
      if (isUsable(candidate)) {
        result = Optional.of(candidate.connection());
      } else {
        IoUtils.safeClose(candidate.connection());
      }
    }
    return result;
  }

  void release(final InetSocketAddress target, final ClientConnection connection) {
    final ConcurrentLinkedDeque<IdleConnection> connections =
        idle.computeIfAbsent(target, key -> new ConcurrentLinkedDeque<>());
    connections.addLast(new IdleConnection(connection, time.nanos()));
    if (connections.size() > MAX_IDLE) {
      final IdleConnection oldest = connections.pollFirst();
      if (oldest != null) {
        IoUtils.safeClose(oldest.connection());
      }
    }
  }

  void close() {
    idle.values()
        .forEach(
            connections -> connections.forEach(entry -> IoUtils.safeClose(entry.connection())));
    idle.clear();
  }

  private boolean isUsable(final IdleConnection candidate) {
    return candidate.connection().isOpen()
        && time.nanos() - candidate.sinceNanos() < MAX_IDLE_NANOS;
  }
}
