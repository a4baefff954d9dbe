package org.lentilsail.model.record;

import java.util.EnumMap;
import java.util.Map;
import org.lentilsail.model.json.JsonObjectReader;

/** Selects the spec reader of a kind. */
final class SpecReaders {
  /**
   * Maximum number of VMs in a field; far above any fleet size, and small enough for sums to fit
   * into an int.
   */
  static final int MAX_VMS = 1_000_000;

  /** Readers by kind. */
  private static final Map<RecordKind, SpecReader<?>> READERS =
      new EnumMap<>(
          Map.of(
              RecordKind.POOL, new PoolReader(),
              RecordKind.SERVICE, new ServiceReader(),
              RecordKind.BUDGET, new BudgetReader(),
              RecordKind.WAVE, new WaveReader(),
              RecordKind.HOLD, new HoldReader()));

  private SpecReaders() {}

  /** Reads a spec with the reader of its kind. */
  static Object read(
      final RecordKind kind,
      final String name,
      final JsonObjectReader spec,
      final int version,
      final ReadMode mode) {
    return READERS.get(kind).read(name, spec, version, mode);
  }

  /** Reads a reference to another record by its name. */
  static String reference(final JsonObjectReader spec, final String field, final String what) {
    return spec.requiredText(field, RecordKey::validName, "write the name of " + what);
  }
}
