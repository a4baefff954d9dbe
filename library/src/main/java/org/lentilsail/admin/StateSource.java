package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;

/** Contributes the state of one component to the state dump. */
public interface StateSource {
  /**
   * Returns the key of the component in the dump.
   *
   * @return the key, unique among the components
   */
  String stateName();

  /**
   * Returns the current state; thread-safe.
   *
   * @return the state as a new JSON document, independent of internal state
   */
  JsonNode state();
}
