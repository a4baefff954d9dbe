package org.lentilsail.jobs;

import java.util.concurrent.ScheduledExecutorService;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.worker.AdviceClient;
import org.lentilsail.worker.MachineClient;
import org.lentilsail.worker.WorkerClient;

/**
 * Dependencies of job control.
 *
 * @param store the key-value store
 * @param workers sends commands to workers
 * @param machines sends commands about machines
 * @param advice asks which workers may run the steps of a queue that requires advice
 * @param documents decodes the items that operators and workers write into the store
 * @param executor the control thread
 * @param time clock
 * @param log decision log
 * @param metrics counters and histograms
 * @param bounds limits of the deployment
 */
public record ControlContext(
    KeyValueStore store,
    WorkerClient workers,
    MachineClient machines,
    AdviceClient advice,
    FleetDocuments documents,
    ScheduledExecutorService executor,
    TimeSource time,
    DecisionLog log,
    JobMetrics metrics,
    ControlBounds bounds) {

  /** Returns the same dependencies with another store. */
  ControlContext withStore(final KeyValueStore other) {
    return new ControlContext(
        other, workers, machines, advice, documents, executor, time, log, metrics, bounds);
  }
}
