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
   * Shortest control lease in ms: the holder renews every 1,000 ms and stops 1,000 ms before the
   * lease can expire.
   */
  private static final int LEAST_LEASE_MILLIS = 3_000;

  /** Largest time in ms. */
  private static final int DAY_MILLIS = 24 * 3_600_000;

  /** Largest time in minutes. */
  private static final int DAY_MINUTES = 24 * 60;

  /** The faults found so far. */
  private final List<Fault> faults = new ArrayList<>();

  /** The document. */
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
            word(document, "id"),
            word(document, "region"),
            word(document, "availabilityZone"),
            address(document, "callerAddress", true),
            address(document, "adminAddress", true),
            address(document, "peerAddress", true),
            peers(),
            address(document, "platformAddress", false),
            integer("drainGraceMillis", 3_000, 0, DAY_MILLIS),
            integer("keyTermMinutes", 60, 2, DAY_MINUTES),
            integer("keyMemoryMinutes", 120, 2, DAY_MINUTES),
            integer("controlLeaseMillis", 5_000, LEAST_LEASE_MILLIS, 60_000),
            integer("ioThreads", 2, 1, 64),
            weights());
    document.rejectUnknownFields();
    checkPeerIds(settings);
    return settings;
  }

  private int integer(final String name, final int byDefault, final int least, final int most) {
    return (int) document.integer(name, byDefault, least, most);
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
              word(peer, "id"), address(peer, "address", false), word(peer, "availabilityZone")));
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

  private static String word(final JsonObjectReader object, final String name) {
    return object.requiredText(name, text -> text.matches("\\S+"), "write a name without spaces");
  }

  private static HostPort address(
      final JsonObjectReader object, final String name, final boolean anyPort) {
    final String text =
        object.requiredText(
            name,
            value -> HostPort.parse(value).filter(it -> anyPort || it.port() > 0).isPresent(),
            anyPort
                ? "write an address as host:port; port 0 lets the operating system choose"
                : "write an address as host:port with a port from 1 to 65535");
    return HostPort.parse(text).orElse(new HostPort("", 0));
  }
}
