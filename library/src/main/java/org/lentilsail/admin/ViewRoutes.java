package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.model.fleet.FleetCodec;

/** Handles read-only requests for the state of the daemon, the fleet and waves. */
final class ViewRoutes {
  private final AdminComponents components;

  ViewRoutes(final AdminComponents components) {
    this.components = components;
  }

  JsonNode fleet(final AdminRequest request) {
    final ConfigurationSnapshot snapshot = components.configuration().current();
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("revision", snapshot.fleetRevision());
    json.set("fleet", FleetCodec.write(snapshot.fleet()));
    return json;
  }

  JsonNode wave(final AdminRequest request) {
    return new WaveReport(components.configuration().current(), request.path("wave")).json();
  }

  JsonNode explainVm(final AdminRequest request) {
    return components.explainer().vm(request.path("vm"));
  }

  JsonNode explainWave(final AdminRequest request) {
    return components.explainer().wave(request.path("wave"));
  }

  JsonNode state(final AdminRequest request) {
    final TreeMap<String, JsonNode> states = new TreeMap<>();
    components.states().forEach(source -> states.put(source.stateName(), source.state()));
    return JsonNodeFactory.instance.objectNode().setAll(states);
  }
}
