package org.lentilsail.control;

import com.fasterxml.jackson.databind.JsonNode;
import org.lentilsail.model.fleet.FleetDocument;

/** Converts the fleet document to the JSON that the platform stores, and back. */
public interface FleetFormat {
  /**
   * Writes a document.
   *
   * @param document the document
   * @return its JSON form
   */
  JsonNode write(FleetDocument document);

  /**
   * Reads a document.
   *
   * @param json its JSON form
   * @return the document
   */
  FleetDocument read(JsonNode json);
}
