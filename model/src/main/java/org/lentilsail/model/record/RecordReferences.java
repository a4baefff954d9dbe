package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.lentilsail.model.json.Fault;
import org.lentilsail.model.json.NearestName;

/** Checks the references between records. */
public final class RecordReferences {
  private RecordReferences() {}

  /**
   * Finds references of a written record that do not resolve.
   *
   * @param kind kind of the record
   * @param spec its spec in any version
   * @param existing all records
   * @return one fault for each reference that does not resolve
   */
  static List<Fault> findFaults(
      final RecordKind kind, final ObjectNode spec, final Records existing) {
    final List<Fault> faults = new ArrayList<>();
    switch (kind) {
      case SERVICE ->
          check(spec.path("pool"), "spec.pool", "pool", existing.pools().keySet(), faults);
      case BUDGET ->
          check(
              spec.path("service"),
              "spec.service",
              "service",
              existing.services().keySet(),
              faults);
      case WAVE -> {
        final JsonNode pools = spec.path("pools");
        for (int i = 0; i < pools.size(); i++) {
          check(pools.path(i), "spec.pools[" + i + "]", "pool", existing.pools().keySet(), faults);
        }
      }
      default -> {}
    }
    return faults;
  }

  /**
   * Lists the records that refer to a record.
   *
   * @param key the record
   * @param existing all records
   * @return the referring records in order of kind and name
   */
  public static List<RecordKey> referrers(final RecordKey key, final Records existing) {
    final List<RecordKey> found = new ArrayList<>();
    if (key.kind() == RecordKind.POOL) {
      existing.services().values().stream()
          .filter(service -> service.pool().equals(key.name()))
          .forEach(service -> found.add(new RecordKey(RecordKind.SERVICE, service.name())));
      existing.waves().values().stream()
          .filter(wave -> wave.pools().contains(key.name()))
          .forEach(wave -> found.add(new RecordKey(RecordKind.WAVE, wave.name())));
    } else if (key.kind() == RecordKind.SERVICE) {
      existing
          .budgetsOf(key.name())
          .forEach(budget -> found.add(new RecordKey(RecordKind.BUDGET, budget.name())));
    }
    return found.stream().sorted(Comparator.comparing(RecordKey::toString)).toList();
  }

  private static void check(
      final JsonNode reference,
      final String field,
      final String kindName,
      final Collection<String> names,
      final List<Fault> faults) {
    final String name = reference.asText();
    if (RecordKey.validName(name) && !names.contains(name)) {
      faults.add(
          new Fault(
              field,
              reference.toString(),
              "no "
                  + kindName
                  + " has this name"
                  + NearestName.of(name, names)
                      .map(suggestion -> "; did you mean " + suggestion + "?")
                      .orElse("; create the " + kindName + " first")));
    }
  }
}
