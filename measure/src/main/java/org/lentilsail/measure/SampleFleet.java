package org.lentilsail.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import org.lentilsail.config.KeyTerm;
import org.lentilsail.config.KeyTermCodec;
import org.lentilsail.model.fleet.FleetCodec;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.fleet.WaveProgress;

/**
 * Generates the values that the platform stores for a fleet of a given size.
 *
 * @param name name of the fleet size
 * @param vms number of VMs
 * @param pools number of pools, each with a service and a budget
 */
record SampleFleet(String name, int vms, int pools) {
  /** Platform key of the fleet document. */
  static final String FLEET_KEY = "control/fleet/r1";

  /** Number of key ranges. */
  private static final int KEY_RANGES = 16;

  /** Number of earlier write IDs in a stored record. */
  private static final int EARLIER_WRITE_IDS = 8;

  /** Wall-clock time in ms at which the document times start. */
  private static final long START_MILLIS = 1_780_000_000_000L;

  Map<String, JsonNode> platformValues() {
    final Map<String, JsonNode> result = new LinkedHashMap<>();
    for (int i = 0; i < pools; i++) {
      result.put("config/pool/pool-" + i, poolRecord(i, 0));
      result.put(
          "config/service/service-" + i,
          record("service", "service-" + i, object().put("pool", "pool-" + i)));
      final ObjectNode budget = object().put("service", "service-" + i);
      budget.putObject("maxUnavailable").put("count", 1);
      result.put("config/budget/budget-" + i, record("budget", "budget-" + i, budget));
    }
    for (int i = 0; i < KEY_RANGES; i++) {
      final KeyTerm term = new KeyTerm(i, "entry-1", 1, START_MILLIS, START_MILLIS);
      result.put(KeyTermCodec.PREFIX + i, KeyTermCodec.write(term));
    }
    result.put(FLEET_KEY, fleetDocument(0));
    return result;
  }

  JsonNode poolRecord(final int poolNumber, final int minimumVms) {
    return record("pool", "pool-" + poolNumber, object().put("minimumVms", minimumVms));
  }

  /** Returns the fleet document at a step of a wave: earlier VMs are done, one is draining. */
  JsonNode waveStepDocument(final int step) {
    final Map<String, VmEntry> entries = entries(0);
    final String vm = "vm-" + step % vms;
    entries.put(vm, entries.get(vm).withPhase(VmPhase.DRAINING, START_MILLIS + step));
    final Set<String> done = new HashSet<>();
    for (int i = 0; i < step; i++) {
      done.add("vm-" + i % vms);
    }
    final WaveProgress wave =
        new WaveProgress("monthly", 1, START_MILLIS, done, Set.of(), false, START_MILLIS, 0, 0);
    return FleetCodec.write(new FleetDocument(1, "entry-1", entries, Map.of("monthly", wave)));
  }

  JsonNode fleetDocument(final long epoch) {
    return FleetCodec.write(new FleetDocument(epoch, "entry-1", entries(epoch), Map.of()));
  }

  private Map<String, VmEntry> entries(final long epoch) {
    final Map<String, VmEntry> entries = new HashMap<>();
    for (int i = 0; i < vms; i++) {
      final String vm = "vm-" + i;
      entries.put(
          vm,
          VmEntry.inService(
              vm,
              "10.0." + i / 256 + "." + i % 256 + ":8080",
              "zone-" + i % 3,
              "rack-" + i / 4,
              "pool-" + i % pools,
              1,
              START_MILLIS + epoch));
    }
    return entries;
  }

  private static ObjectNode record(final String kind, final String name, final ObjectNode spec) {
    final ObjectNode result = object().put("kind", kind).put("schemaVersion", 2).put("name", name);
    result.set("spec", spec);
    result.put("mark", UUID.randomUUID().toString());
    final ArrayNode earlierWriteIds = result.putArray("earlierMarks");
    for (int i = 0; i < EARLIER_WRITE_IDS; i++) {
      earlierWriteIds.add(UUID.randomUUID().toString());
    }
    return result;
  }

  private static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }
}
