package org.lentilsail.worker;

/**
 * What became of an order to a worker.
 *
 * @param answer what the worker answered
 * @param clockMillis clock of the worker in ms, -1 when not told
 * @param detail what happened, for the log
 */
public record CommandReply(CommandResult result, long clockMillis, String detail) {}
