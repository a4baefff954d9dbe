package org.lentilsail.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import org.lentilsail.control.FleetFormat;
import org.lentilsail.model.fleet.FleetCodec;
import org.lentilsail.model.fleet.FleetDocument;

/** Reads and writes the fleet document in the stored format that all daemons share. */
final class StoredFleetFormat implements FleetFormat {
  @Override
  public JsonNode write(final FleetDocument document) {
    return FleetCodec.write(document);
  }

  @Override
  public FleetDocument read(final JsonNode json) {
    return FleetCodec.read(json);
  }
}
