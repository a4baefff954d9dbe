package org.lentilsail.worker;

import java.util.Optional;
import org.lentilsail.policy.job.WorkerReport;

/**
 * Answer to a look at a worker.
 *
 * @param answer what became of the order
 * @param list lists of the worker when the order was carried out
 * @param detail what happened, for the log
 */
public record PollReply(CommandResult result, Optional<WorkerReport> report, String detail) {}
