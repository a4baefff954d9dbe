package org.lentilsail.peer;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.lentilsail.ManualExecutor;
import org.lentilsail.model.time.ManualTimeSource;

/**
 * Connects fake peer networks on a manual clock. Messages pass through the codec and are delivered
 * after a delay. Links can be cut, and messages can be delivered a second time later.
 */
public final class FakePeers {
  final ManualTimeSource time;
  final ManualExecutor executor;
  final Map<String, FakePeerNetwork> networks = new TreeMap<>();
  private final Set<String> cut = new HashSet<>();
  private Duration delay = Duration.ofMillis(1);
  private Duration repeatAfter = Duration.ZERO;
  private long bytes;

  /** Creates an empty set of networks. */
  public FakePeers(final ManualTimeSource time, final ManualExecutor executor) {
    this.time = time;
    this.executor = executor;
  }

  /** Creates the network of a daemon. */
  public FakePeerNetwork create(final String id, final String zone, final PeerStatus status) {
    final FakePeerNetwork result = new FakePeerNetwork(this, id, zone, status);
    networks.put(id, result);
    return result;
  }

  /** Cuts or restores the links between a daemon and all others. */
  public void isolate(final String id, final boolean isolated) {
    for (final String other : networks.keySet()) {
      cut(id, other, isolated);
    }
  }

  /** Cuts or restores the link between two daemons. */
  public void cut(final String one, final String other, final boolean isCut) {
    if (isCut) {
      cut.add(one + ">" + other);
      cut.add(other + ">" + one);
    } else {
      cut.remove(one + ">" + other);
      cut.remove(other + ">" + one);
    }
  }

  /** Sets the delay of messages. */
  public void setDelay(final Duration delay) {
    this.delay = delay;
  }

  /** Delivers each message a second time after an additional delay; zero turns this off. */
  public void setRepeatAfter(final Duration later) {
    this.repeatAfter = later;
  }

  /** Returns the number of bytes sent since the last call. */
  public long takeBytes() {
    final long result = bytes;
    bytes = 0;
    return result;
  }

  void transmit(final String from, final String to, final ByteBuffer frame) {
    bytes += frame.remaining();
    final byte[] body = new byte[frame.remaining() - FrameReader.HEADER_BYTES];
    frame.position(FrameReader.HEADER_BYTES).get(body);
    executor.schedule(() -> deliver(from, to, body), delay.toNanos(), TimeUnit.NANOSECONDS);
    if (!repeatAfter.isZero()) {
      executor.schedule(
          () -> deliver(from, to, body), delay.plus(repeatAfter).toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  private void deliver(final String from, final String to, final byte[] body) {
    final FakePeerNetwork target = networks.get(to);
    if (target != null && !cut.contains(from + ">" + to)) {
      target.receive(from, body);
    }
  }
}
