package org.lentilsail.model.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/**
 * Converts the fleet document to JSON and back. Field names are short and defaults are left out,
 * because the document is sent to every daemon on each change. Unknown fields are ignored.
 */
public final class FleetCodec {
  private FleetCodec() {}

  /**
   * Converts a document to JSON.
   *
   * @param fleet the document
   * @return its JSON form, in a stable order
   */
  public static ObjectNode write(final FleetDocument fleet) {
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("epoch", fleet.epoch());
    json.put("holder", fleet.holder());
    final ObjectNode vms = json.putObject("vms");
    new TreeMap<>(fleet.vms()).forEach((name, vm) -> vms.set(name, writeVm(vm)));
    final ObjectNode waves = json.putObject("waves");
    new TreeMap<>(fleet.waves()).forEach((name, wave) -> waves.set(name, writeWave(wave)));
    return json;
  }

  /**
   * Converts JSON to a document.
   *
   * @param json its JSON form
   * @return the document
   */
  public static FleetDocument read(final JsonNode json) {
    if (!json.isObject()) {
      throw malformed("the value is not an object", null);
    }
    try {
      final Map<String, VmEntry> vms = new HashMap<>();
      json.path("vms")
          .properties()
          .forEach(vm -> vms.put(vm.getKey(), readVm(vm.getKey(), vm.getValue())));
      final Map<String, WaveProgress> waves = new HashMap<>();
      json.path("waves")
          .properties()
          .forEach(wave -> waves.put(wave.getKey(), readWave(wave.getKey(), wave.getValue())));
      return new FleetDocument(
          json.path("epoch").asLong(), json.path("holder").asText(), vms, waves);
    } catch (final IllegalArgumentException error) {
      throw malformed(error.getMessage(), error);
    }
  }

  private static ObjectNode writeVm(final VmEntry vm) {
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("at", vm.address());
    json.put("zone", vm.availabilityZone());
    json.put("rack", vm.rack());
    json.put("pool", vm.pool());
    json.put("boot", vm.bootGeneration());
    json.put("since", vm.sinceMillis());
    if (vm.phase() != VmPhase.IN_SERVICE) {
      json.put("phase", vm.phase().name());
    }
    if (vm.purpose() != DrainPurpose.NONE) {
      json.put("purpose", vm.purpose().name());
    }
    putUnlessEmpty(json, "target", vm.targetPool());
    putUnlessEmpty(json, "wave", vm.wave());
    return json;
  }

  private static VmEntry readVm(final String name, final JsonNode json) {
    return new VmEntry(
        name,
        json.path("at").asText(),
        json.path("zone").asText(),
        json.path("rack").asText(),
        json.path("pool").asText(),
        VmPhase.valueOf(json.path("phase").asText(VmPhase.IN_SERVICE.name())),
        DrainPurpose.valueOf(json.path("purpose").asText(DrainPurpose.NONE.name())),
        json.path("target").asText(),
        json.path("wave").asText(),
        json.path("boot").asLong(),
        json.path("since").asLong());
  }

  private static ObjectNode writeWave(final WaveProgress wave) {
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("run", wave.run());
    json.put("started", wave.startedMillis());
    putNames(json, "done", wave.done());
    putNames(json, "failed", wave.failed());
    if (wave.halted()) {
      json.put("halted", true);
    }
    json.put("changed", wave.changedMillis());
    if (wave.finishedMillis() != 0) {
      json.put("finished", wave.finishedMillis());
    }
    if (wave.resumes() != 0) {
      json.put("resumes", wave.resumes());
    }
    return json;
  }

  private static WaveProgress readWave(final String name, final JsonNode json) {
    return new WaveProgress(
        name,
        json.path("run").asInt(),
        json.path("started").asLong(),
        names(json.path("done")),
        names(json.path("failed")),
        json.path("halted").asBoolean(),
        json.path("changed").asLong(),
        json.path("finished").asLong(),
        json.path("resumes").asInt());
  }

  private static void putNames(final ObjectNode json, final String field, final Set<String> names) {
    if (!names.isEmpty()) {
      new TreeSet<>(names).forEach(json.putArray(field)::add);
    }
  }

  private static Set<String> names(final JsonNode list) {
    final Set<String> names = new HashSet<>();
    list.forEach(name -> names.add(name.asText()));
    return names;
  }

  private static void putUnlessEmpty(
      final ObjectNode json, final String field, final String value) {
    if (!value.isEmpty()) {
      json.put(field, value);
    }
  }

  private static LentilsailException malformed(final String detail, final Throwable cause) {
    return new LentilsailException(
        ErrorCode.INVALID_INPUT,
        "the fleet document cannot be read: " + detail,
        "run the version of lentilsail that wrote the document or a newer one",
        cause);
  }
}
