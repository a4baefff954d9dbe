package org.lentilsail.jobs;

import java.util.concurrent.ScheduledExecutorService;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.worker.AdviceClient;
import org.lentilsail.worker.MachineClient;
import org.lentilsail.worker.WorkerClient;

/**
 * What control needs of its daemon.
 *
 * @param store the store
 * @param workers gives orders to workers
 * @param machines gives orders about machines
 * @param advice asks which workers may run the steps of an advised queue
 * @param documents reads what operators and workers write into the store
 * @param executor control thread
 * @param time clock
 * @param log decisions
 * @param metrics counters and histograms
 * @param bounds bounds of the deployment
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
    ControlBounds bounds) {}
