package org.lentilsail.standin.platform;

import org.lentilsail.platform.VmReport;

/**
 * What was known about a VM from some time on.
 *
 * @param report what was known
 * @param nanos monotonic time from which it was known
 */
record TimedReport(VmReport report, long nanos) {}
