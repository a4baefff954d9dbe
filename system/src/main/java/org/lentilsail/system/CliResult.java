package org.lentilsail.system;

/**
 * Result of a run of the operators' command line.
 *
 * @param exitCode exit code
 * @param output what the process printed
 */
record CliResult(int exitCode, String output) {}
