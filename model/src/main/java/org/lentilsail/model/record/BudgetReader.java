package org.lentilsail.model.record;

import org.lentilsail.model.json.JsonObjectReader;

/** Reads the spec of an availability budget. */
final class BudgetReader implements SpecReader<BudgetSpec> {
  /** Remedy for a limit that is missing or not unique. */
  private static final String REMEDY = "write either {\"count\": N} or {\"percent\": P}";

  /** Value of the limit, count or percentage, that a budget does not have. */
  private static final int UNSET = -1;

  @Override
  public BudgetSpec read(
      final String name, final JsonObjectReader spec, final int version, final ReadMode mode) {
    final String service = SpecReaders.reference(spec, "service", "a service");
    int count = UNSET;
    int percent = UNSET;
    int minimumPerZone = 0;
    if (version == 1) {
      // Version 1 cannot express a percentage, so its clients omit the field to keep one.
      if (spec.node("maxUnavailable").isEmpty() && mode != ReadMode.UPDATE) {
        spec.addFault("maxUnavailable", "write how many VMs may be unavailable at once");
      }
      count = (int) spec.integer("maxUnavailable", 0, 0, SpecReaders.MAX_VMS);
    } else {
      final boolean stated = spec.node("maxUnavailable").isPresent();
      final JsonObjectReader limit = spec.child("maxUnavailable");
      count = (int) limit.integer("count", UNSET, 0, SpecReaders.MAX_VMS);
      percent = (int) limit.integer("percent", UNSET, 0, 100);
      if (mode != ReadMode.STORED) {
        limit.rejectUnknownNonNullFields();
      }
      if (!stated || limit.node("count").isPresent() == limit.node("percent").isPresent()) {
        spec.addFault("maxUnavailable", REMEDY);
      }
      minimumPerZone = (int) spec.integer("minimumPerZone", 0, 0, SpecReaders.MAX_VMS);
    }
    return new BudgetSpec(name, service, count, percent, minimumPerZone);
  }
}
