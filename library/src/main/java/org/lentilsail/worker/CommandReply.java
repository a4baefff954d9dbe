package org.lentilsail.worker;

/**
 * Reply of a worker to a command.
 *
 * @param result result of the command
 * @param clockMillis clock of the worker in ms, -1 if not reported
 * @param detail detail for the log
 */
public record CommandReply(CommandResult result, long clockMillis, String detail) {}
