package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.model.fleet.FleetCodec;

/** Routes that show the state of the daemon and the fleet. */
final class ViewRoutes {
  /** The parts of the daemon. */
  private final AdminComponents parts;

  ViewRoutes(final AdminComponents parts) {
    this.parts = parts;
  }

  JsonNode fleet(final AdminRequest request) {
    final ConfigurationSnapshot snapshot = parts.configuration().current();
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("revision", snapshot.fleetRevision());
    json.set("fleet", FleetCodec.write(snapshot.fleet()));
    return json;
  }

  JsonNode wave(final AdminRequest request) {
    return new WaveReport(parts.configuration().current(), request.path("wave")).json();
  }

  JsonNode explainVm(final AdminRequest request) {
    return parts.explainer().vm(request.path("vm"));
  }

  JsonNode explainWave(final AdminRequest request) {
    return parts.explainer().wave(request.path("wave"));
  }

  JsonNode state(final AdminRequest request) {
    final TreeMap<String, JsonNode> states = new TreeMap<>();
    parts.states().forEach(source -> states.put(source.stateName(), source.state()));
    return JsonNodeFactory.instance.objectNode().setAll(states);
  }
}
