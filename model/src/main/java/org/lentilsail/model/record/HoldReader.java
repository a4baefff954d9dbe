package org.lentilsail.model.record;

import org.lentilsail.model.json.JsonObjectReader;

/** Reads the spec of a hold. */
final class HoldReader implements SpecReader<HoldSpec> {
  @Override
  public HoldSpec read(
      final String name, final JsonObjectReader spec, final int version, final ReadMode mode) {
    return new HoldSpec(
        name,
        spec.requiredText("vm", text -> text.matches("\\S+"), "write the name of a VM"),
        spec.flag("force", false),
        spec.text("reason", "", text -> true, "write a text"));
  }
}
