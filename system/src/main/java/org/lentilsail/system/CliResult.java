package org.lentilsail.system;

/**
 * What a run of the operators' command line gave.
 *
 * @param exitCode exit code
 * @param output what it printed
 */
record CliResult(int exitCode, String output) {}
