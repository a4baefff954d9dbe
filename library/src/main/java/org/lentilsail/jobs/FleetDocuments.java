package org.lentilsail.jobs;

import java.util.Optional;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.store.StoredItem;

/** Reads and writes the items that operators and workers share with the product in the store. */
public interface FleetDocuments {
  /**
   * Returns the begin of the keys of workers.
   *
   * @return the prefix
   */
  String workersPrefix();

  /**
   * Returns the begin of the keys that operators write.
   *
   * @return the prefix
   */
  String operatorPrefix();

  /**
   * Reads what a worker reports of itself.
   *
   * @param item the item
   * @return the report, empty when the item names no worker that can be used
   */
  Optional<WorkerEntry> worker(StoredItem item);

  /**
   * Reads a configuration.
   *
   * @param item an item under the operators' prefix
   * @return the configuration, empty when the item is none or cannot be read
   */
  Optional<JobConfiguration> configuration(StoredItem item);

  /**
   * Reads a request for maintenance.
   *
   * @param item an item under the operators' prefix
   * @return the request, empty when the item is none or cannot be read
   */
  Optional<WaveRequest> wave(StoredItem item);

  /**
   * Returns the key of the status of a wave.
   *
   * @param number number of the wave
   * @return the key
   */
  String waveStatusKey(long number);

  /**
   * Writes the status of a wave.
   *
   * @param completed whether all its machines have been maintained
   * @return the value
   */
  byte[] waveStatus(boolean completed);
}
