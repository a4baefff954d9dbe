package org.lentilsail.jobs;

import java.util.Optional;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.store.StoredItem;

/** Encodes and decodes the store items that are shared with operators and workers. */
public interface FleetDocuments {
  /**
   * Returns the key prefix of worker entries.
   *
   * @return the prefix
   */
  String workersPrefix();

  /**
   * Returns the key prefix of the items that operators write.
   *
   * @return the prefix
   */
  String operatorPrefix();

  /**
   * Decodes the entry of a worker.
   *
   * @param item the item
   * @return the entry, empty if the item does not describe a usable worker
   */
  Optional<WorkerEntry> worker(StoredItem item);

  /**
   * Returns whether an item is meant to be a configuration, also if it cannot be parsed.
   *
   * @param item an item under the operator prefix
   * @return whether it has the key of the configuration
   */
  boolean isConfiguration(StoredItem item);

  /**
   * Decodes a configuration.
   *
   * @param item an item under the operator prefix
   * @return the configuration, empty if the item is not one or cannot be parsed
   */
  Optional<JobConfiguration> configuration(StoredItem item);

  /**
   * Decodes a maintenance request.
   *
   * @param item an item under the operator prefix
   * @return the request, empty if the item is not one or cannot be parsed
   */
  Optional<WaveRequest> wave(StoredItem item);

  /**
   * Returns the key of the status of a maintenance wave.
   *
   * @param number number of the wave
   * @return the key
   */
  String waveStatusKey(long number);

  /**
   * Encodes the status of a maintenance wave.
   *
   * @param completed whether all machines of the wave have been maintained
   * @return the value
   */
  byte[] waveStatus(boolean completed);
}
