package org.lentilsail.standin.platform;

import org.lentilsail.platform.VmReport;

/**
 * A report on a VM with the time from which it holds.
 *
 * @param report the report
 * @param nanos monotonic time in ns from which it holds
 */
record TimedReport(VmReport report, long nanos) {}
