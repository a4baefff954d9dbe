package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;

/** Gives one part's share of the state dump. */
public interface StateSource {
  /**
   * Returns the name under which the part stands in the dump.
   *
   * @return the name
   */
  String stateName();

  /**
   * Returns the present state; callable from every thread.
   *
   * @return the state as a JSON document of its own
   */
  JsonNode state();
}
