package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.lentilsail.acceptance.AcceptedWrite;
import org.lentilsail.acceptance.OperatorCommands;
import org.lentilsail.acceptance.RecordService;
import org.lentilsail.acceptance.RecordWrite;
import org.lentilsail.acceptance.VersionedRecord;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.Fault;
import org.lentilsail.model.json.JsonObjectReader;
import org.lentilsail.model.record.RecordKey;

/** Handles requests that read and write records and commands on waves and VMs. */
final class RecordRoutes {
  /** Platform timeout of a request; shorter than the timeout of the command-line client. */
  private static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(4_000);

  private final RecordService records;

  private final OperatorCommands commands;

  private final AdminComponents components;

  RecordRoutes(final AdminComponents components) {
    this.components = components;
    this.records = components.records();
    this.commands = components.commands();
  }

  JsonNode read(final AdminRequest request) {
    final RecordKey key = request.record();
    final int newest = key.kind().newestVersion();
    final long version = request.number("schemaVersion").orElse((long) newest);
    if (version < 1 || version > newest) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "schema version " + version + " of " + key.kind().text() + " is unknown",
          "request a version from 1 to " + newest);
    }
    return json(records.read(key, (int) version, PLATFORM_TIMEOUT));
  }

  JsonNode list(final AdminRequest request) {
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    final ArrayNode list = json.putArray("records");
    records.list(PLATFORM_TIMEOUT).forEach(record -> list.add(json(record)));
    return json;
  }

  JsonNode put(final AdminRequest request) {
    final RecordWrite write =
        new RecordWrite(
            request.body(),
            request.expectedRevision(),
            request.writeId(),
            request.query("repeated").filter("true"::equals).isPresent());
    return json(records.put(request.record(), write, PLATFORM_TIMEOUT));
  }

  JsonNode delete(final AdminRequest request) {
    return json(records.delete(request.record(), request.expectedRevision(), PLATFORM_TIMEOUT));
  }

  JsonNode pauseWave(final AdminRequest request) {
    return json(commands.pauseWave(request.path("wave"), request.writeId(), PLATFORM_TIMEOUT));
  }

  JsonNode resumeWave(final AdminRequest request) {
    return json(commands.resumeWave(request.path("wave"), request.writeId(), PLATFORM_TIMEOUT));
  }

  JsonNode drain(final AdminRequest request) {
    final String vm = request.path("vm");
    final ConfigurationSnapshot snapshot = components.configuration().current();
    if (snapshot.fleetRevision() > 0 && !snapshot.fleet().vms().containsKey(vm)) {
      throw new LentilsailException(
          ErrorCode.NOT_FOUND,
          "VM " + vm + " is not in the fleet of this region",
          "check the name, or ask a daemon of the region of the VM");
    }
    final List<Fault> faults = new ArrayList<>();
    final JsonObjectReader body = new JsonObjectReader("", request.bodyOrEmpty(), faults::add);
    final boolean force = body.flag("force", false);
    final String reason = body.text("reason", "", text -> true, "use a string");
    body.rejectUnknownFields();
    if (!faults.isEmpty()) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          Fault.message("the request body", faults),
          "correct the listed fields");
    }
    return json(commands.drain(vm, force, reason, request.writeId(), PLATFORM_TIMEOUT));
  }

  JsonNode returnVm(final AdminRequest request) {
    return json(commands.returnVm(request.path("vm"), PLATFORM_TIMEOUT));
  }

  private static ObjectNode json(final VersionedRecord record) {
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("revision", record.revision());
    json.set("record", record.document().json());
    return json;
  }

  private static ObjectNode json(final AcceptedWrite write) {
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("outcome", "accepted");
    json.put("record", write.key().toString());
    json.put("revision", write.revision());
    json.put("changed", write.changed());
    if (!write.writeId().isEmpty()) {
      json.put("mark", write.writeId());
    }
    return json;
  }
}
