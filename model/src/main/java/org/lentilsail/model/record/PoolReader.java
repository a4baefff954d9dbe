package org.lentilsail.model.record;

import org.lentilsail.model.json.JsonObjectReader;

/** Reads the spec of a pool. */
final class PoolReader implements SpecReader<PoolSpec> {
  @Override
  public PoolSpec read(
      final String name, final JsonObjectReader spec, final int version, final ReadMode mode) {
    final boolean spare = spec.flag("spare", false);
    final int minimum = (int) spec.integer("minimumVms", 0, 0, SpecReaders.MAX_VMS);
    int maximum = 0;
    String team = "";
    if (version > 1) {
      maximum = (int) spec.integer("maximumVms", 0, 0, SpecReaders.MAX_VMS);
      team = spec.text("team", "", text -> true, "write the name of a team");
      if (maximum > 0 && maximum < minimum) {
        spec.addFault("maximumVms", "write at least minimumVms, which is " + minimum + ", or 0");
      }
    }
    return new PoolSpec(name, spare, minimum, maximum, team);
  }
}
