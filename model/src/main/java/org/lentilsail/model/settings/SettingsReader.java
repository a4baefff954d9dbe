package org.lentilsail.model.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lentilsail.model.json.Fault;
import org.lentilsail.model.json.JsonObjectReader;

/** Reads the settings of an entry daemon from a JSON document and collects the faults. */
final class SettingsReader {
  /**
   * Minimum control lease in ms: the leader renews it every 1,000 ms and stops acting 1,000 ms
   * before it can expire.
   */
  private static final int MIN_LEASE_MILLIS = 3_000;

  /** Maximum of times in ms. */
  private static final int MILLIS_PER_DAY = 24 * 3_600_000;

  /** Maximum of times in minutes. */
  private static final int MINUTES_PER_DAY = 24 * 60;

  private final List<Fault> faults = new ArrayList<>();

  private final JsonObjectReader document;

  SettingsReader(final JsonNode document) {
    this.document = new JsonObjectReader("", document, faults::add);
  }

  List<Fault> faults() {
    return List.copyOf(faults);
  }

  EntrySettings read() {
    final EntrySettings settings =
        new EntrySettings(
            requiredName(document, "id"),
            requiredName(document, "region"),
            requiredName(document, "availabilityZone"),
            address(document, "callerAddress", true),
            address(document, "adminAddress", true),
            address(document, "peerAddress", true),
            peers(),
            address(document, "platformAddress", false),
            integer("drainGraceMillis", 3_000, 0, MILLIS_PER_DAY),
            integer("keyTermMinutes", 60, 2, MINUTES_PER_DAY),
            integer("keyMemoryMinutes", 120, 2, MINUTES_PER_DAY),
            integer("controlLeaseMillis", 5_000, MIN_LEASE_MILLIS, 60_000),
            integer("ioThreads", 2, 1, 64),
            weights());
    document.rejectUnknownFields();
    checkPeerIds(settings);
    return settings;
  }

  private int integer(
      final String name, final int defaultValue, final int minimum, final int maximum) {
    return (int) document.integer(name, defaultValue, minimum, maximum);
  }

  private WeightSettings weights() {
    final JsonObjectReader weights = document.child("weights");
    final WeightSettings result =
        new WeightSettings(
            weights.number("bufferCost", 1.0),
            weights.number("rollOutTime", 1.0),
            weights.number("moves", 1.0),
            weights.number("waitingTime", 1.0));
    weights.rejectUnknownFields();
    return result;
  }

  private List<PeerSettings> peers() {
    final List<PeerSettings> peers = new ArrayList<>();
    for (final JsonNode element : document.list("peers")) {
      final JsonObjectReader peer =
          new JsonObjectReader("peers[" + peers.size() + "]", element, faults::add);
      peers.add(
          new PeerSettings(
              requiredName(peer, "id"),
              address(peer, "address", false),
              requiredName(peer, "availabilityZone")));
      peer.rejectUnknownFields();
    }
    return peers;
  }

  private void checkPeerIds(final EntrySettings settings) {
    final Set<String> ids = new HashSet<>(Set.of(settings.id()));
    for (int i = 0; i < settings.peers().size(); i++) {
      final String id = settings.peers().get(i).id();
      if (!id.isEmpty() && !ids.add(id)) {
        faults.add(
            new Fault("peers[" + i + "].id", '"' + id + '"', "write an id that no daemon has yet"));
      }
    }
  }

  private static String requiredName(final JsonObjectReader object, final String name) {
    return object.requiredText(name, text -> text.matches("\\S+"), "write a name without spaces");
  }

  private static HostPort address(
      final JsonObjectReader object, final String name, final boolean allowPortZero) {
    final String text =
        object.requiredText(
            name,
            value -> HostPort.parse(value).filter(it -> allowPortZero || it.port() > 0).isPresent(),
            allowPortZero
                ? "write an address as host:port; port 0 lets the operating system choose"
                : "write an address as host:port with a port from 1 to 65535");
    return HostPort.parse(text).orElse(new HostPort("", 0));
  }
}
