package org.lentilsail.config;

import java.util.Map;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.record.Records;

/**
 * All configuration that a daemon acts on.
 *
 * @param revision platform revision up to which the snapshot reaches, 0 before the first one
 * @param records the operators' records
 * @param fleet the fleet document of the daemon's region
 * @param fleetRevision revision of the fleet document, 0 when there is none
 * @param keyTerms ownership terms of key ranges by number of the range
 */
public record ConfigurationSnapshot(
    long revision,
    Records records,
    FleetDocument fleet,
    long fleetRevision,
    Map<Integer, KeyTerm> keyTerms) {

  /** Copies the map, so that the snapshot cannot change. */
  public ConfigurationSnapshot {
    keyTerms = Map.copyOf(keyTerms);
  }

  /**
   * Returns the snapshot of a daemon that has not received any configuration.
   *
   * @return the empty snapshot
   */
  public static ConfigurationSnapshot empty() {
    return new ConfigurationSnapshot(0, Records.empty(), FleetDocument.empty(), 0, Map.of());
  }
}
