package org.lentilsail.standin.jobs;

/**
 * How simulated workers measure and limit the leases of their runs.
 *
 * @param maxLeaseMillis longest lease in ms; a longer one is shortened to it
 * @param clockRate rate of their clocks relative to real time; the platform allows 0.98 to 1
 */
record WorkerLeaseTerms(long maxLeaseMillis, double clockRate) {}
