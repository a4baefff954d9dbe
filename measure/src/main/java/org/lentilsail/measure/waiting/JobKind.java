package org.lentilsail.measure.waiting;

/**
 * Properties of a job that do not depend on its arrival.
 *
 * @param runNanos actual run time in ns
 * @param path request path
 * @param team team of the caller
 * @param declaredMillis run time in ms that the caller declares
 * @param urgent whether the job is urgent
 * @param poison whether the job fails on every worker
 */
record JobKind(
    long runNanos, String path, String team, long declaredMillis, boolean urgent, boolean poison) {}
