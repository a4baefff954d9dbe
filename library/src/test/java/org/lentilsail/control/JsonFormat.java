package org.lentilsail.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.lentilsail.model.fleet.FleetDocument;

/** Maps records to JSON directly, so that tests do not depend on the stored format. */
final class JsonFormat implements FleetFormat {
  private final ObjectMapper mapper = new ObjectMapper();

  @Override
  public JsonNode write(final FleetDocument document) {
    return mapper.valueToTree(document);
  }

  @Override
  public FleetDocument read(final JsonNode json) {
    try {
      return mapper.treeToValue(json, FleetDocument.class);
    } catch (final JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
