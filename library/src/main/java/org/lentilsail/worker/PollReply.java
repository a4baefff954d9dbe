package org.lentilsail.worker;

import java.util.Optional;
import org.lentilsail.policy.job.WorkerReport;

/**
 * Reply of a worker to a poll.
 *
 * @param result result of the poll
 * @param report status report of the worker, present if the poll was executed
 * @param detail detail for the log
 */
public record PollReply(CommandResult result, Optional<WorkerReport> report, String detail) {}
