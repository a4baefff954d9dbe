package org.lentilsail.worker;

import java.util.Optional;
import org.lentilsail.policy.job.WorkerList;

/**
 * Answer to a look at a worker.
 *
 * @param answer what became of the order
 * @param list lists of the worker when the order was carried out
 * @param detail what happened, for the log
 */
public record LookReply(OrderAnswer answer, Optional<WorkerList> list, String detail) {}
