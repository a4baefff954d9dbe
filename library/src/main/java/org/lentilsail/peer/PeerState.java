package org.lentilsail.peer;

import java.util.concurrent.TimeUnit;

/** The known state of one peer; written by the event loop's thread, read by every thread. */
final class PeerState {
  private final String id;

  /** Last hello message; empty strings and 0 before the first one. */
  private volatile Hello hello;

  /** Whether a message was received recently. */
  private volatile boolean live;

  /** Whether the peer reports that the platform answers it. */
  private volatile boolean platformConnected;

  /** Monotonic time of the last message, or of the creation of this object before the first one. */
  private volatile long lastMessageNanos;

  PeerState(final String id, final long nowNanos) {
    this.id = id;
    this.hello = new Hello(id, 0, "", "", "", 0);
    this.lastMessageNanos = nowNanos;
  }

  String id() {
    return id;
  }

  long incarnation() {
    return hello.incarnation();
  }

  boolean isLive() {
    return live;
  }

  long silentNanos(final long nowNanos) {
    return nowNanos - lastMessageNanos;
  }

  void identify(final Hello newHello) {
    hello = newHello;
  }

  void markLive(final long nowNanos) {
    lastMessageNanos = nowNanos;
    live = true;
  }

  void markUnresponsive() {
    live = false;
    platformConnected = false;
  }

  void setPlatformConnected(final boolean connected) {
    platformConnected = connected;
  }

  PeerView view(final long nowNanos) {
    return new PeerView(
        id,
        hello.incarnation(),
        hello.availabilityZone(),
        hello.region(),
        live,
        platformConnected,
        TimeUnit.NANOSECONDS.toMillis(Math.max(0, silentNanos(nowNanos))));
  }
}
