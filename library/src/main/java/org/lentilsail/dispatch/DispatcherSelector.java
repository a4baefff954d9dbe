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

/** Selects the dispatcher of a service: the live daemon with the highest rendezvous hash. */
final class DispatcherSelector {
  /**
   * Time in ms without a message after which the next daemon takes over: two missed heartbeats of
   * 250 ms.
   */
  static final long TAKEOVER_MILLIS = 500;

  private final PeerNetwork network;
  private final String region;

  /** Daemons that were eligible as dispatchers at the last refresh. */
  private List<String> candidates = List.of();

  /** Selected dispatcher by service for the current candidates. */
  private final Map<String, String> selected = new HashMap<>();

  DispatcherSelector(final PeerNetwork network, final String region) {
    this.network = network;
    this.region = region;
  }

  /** Recomputes the candidates and returns whether they have changed. */
  boolean refresh() {
    final List<String> eligible = new ArrayList<>();
    eligible.add(network.self());
    for (final PeerView peer : network.peers()) {
      if (peer.live() && peer.region().equals(region) && peer.silentMillis() < TAKEOVER_MILLIS) {
        eligible.add(peer.id());
      }
    }
    final boolean changed = !eligible.equals(candidates);
    if (changed) {
      candidates = eligible;
      selected.clear();
    }
    return changed;
  }

  String dispatcher(final String service) {
    return selected.computeIfAbsent(service, this::select);
  }

  private String select(final String service) {
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
