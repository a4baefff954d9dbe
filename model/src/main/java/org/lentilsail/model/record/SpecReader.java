package org.lentilsail.model.record;

import org.lentilsail.model.json.JsonObjectReader;

/**
 * Reads and validates the spec of one kind in any schema version.
 *
 * @param <T> type of the spec
 */
interface SpecReader<T> {
  /**
   * Reads a spec.
   *
   * @param name name of the record
   * @param spec the fields
   * @param version schema version of the fields
   * @param mode where the spec comes from
   * @return the spec in its newest schema version
   */
  T read(String name, JsonObjectReader spec, int version, ReadMode mode);
}
