package org.lentilsail.dispatch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.peer.PeerNetwork;
import org.lentilsail.peer.PeerView;

/** Chooses the dispatcher of a service: the live daemon with the highest rendezvous hash. */
final class DispatcherSelector {
  /** Silence in ms after which the next daemon takes over; two missed heartbeats of 250 ms. */
  static final long SILENCE_LIMIT_MILLIS = 500;

  /** The daemons. */
  private final PeerNetwork network;

  /** Region of this daemon. */
  private final String region;

  /** Daemons that may be dispatchers at the last look. */
  private List<String> candidates = List.of();

  /** Choices by service for the present candidates. */
  private final Map<String, String> choices = new HashMap<>();

  DispatcherSelector(final PeerNetwork network, final String region) {
    this.network = network;
    this.region = region;
  }

  /** Looks at the daemons again and tells whether the candidates have changed. */
  boolean refresh() {
    final List<String> present = new ArrayList<>();
    present.add(network.self());
    for (final PeerView peer : network.peers()) {
      if (peer.live()
          && peer.region().equals(region)
          && peer.silentMillis() < SILENCE_LIMIT_MILLIS) {
        present.add(peer.id());
      }
    }
    final boolean changed = !present.equals(candidates);
    if (changed) {
      candidates = present;
      choices.clear();
    }
    return changed;
  }

  String dispatcher(final String service) {
    return choices.computeIfAbsent(service, this::choose);
  }

  private String choose(final String service) {
    String best = network.self();
    for (final String candidate : candidates) {
      final int order = Long.compareUnsigned(hash(service, candidate), hash(service, best));
      if (order > 0 || order == 0 && candidate.compareTo(best) > 0) {
        best = candidate;
      }
    }
    return best;
  }

  private static long hash(final String service, final String daemon) {
    try {
      final byte[] text = (service + '\n' + daemon).getBytes(StandardCharsets.UTF_8);
      return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text)).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }
}
