package org.lentilsail.peer;

import java.util.concurrent.TimeUnit;

/** What is known about one peer. Written by the loop's thread, read by every thread. */
final class PeerState {
  /** Id of the peer. */
  private final String id;

  /** Identity from the last hello; empty texts and 0 before the first one. */
  private volatile Hello hello;

  /** Whether it has been heard recently. */
  private volatile boolean live;

  /** Whether it reports a working platform connection. */
  private volatile boolean platformConnected;

  /** Monotonic time at which it was last heard, or at which it became known. */
  private volatile long heardNanos;

  PeerState(final String id, final long nowNanos) {
    this.id = id;
    this.hello = new Hello(id, 0, "", "", "", 0);
    this.heardNanos = nowNanos;
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
    return nowNanos - heardNanos;
  }

  void identify(final Hello newHello) {
    hello = newHello;
  }

  void markLive(final long nowNanos) {
    heardNanos = nowNanos;
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
