package org.lentilsail.daemon;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** Exports metrics on CPU time, memory and allocation of this process. */
final class ProcessMetrics {
  private static final double NANOS_PER_SECOND = 1e9;

  private static final long BYTES_PER_KIBIBYTE = 1_024;

  /** File in which Linux reports the memory usage of the process. */
  private static final Path STATUS = Path.of("/proc/self/status");

  /** Prefix of the line with the resident memory in KiB. */
  private static final String RESIDENT_LINE = "VmRSS:";

  private ProcessMetrics() {}

  static void register(final PrometheusRegistry registry) {
    CounterWithCallback.builder()
        .name("lentilsail_process_cpu_seconds_total")
        .help("Processor time of this process in s.")
        .callback(callback -> callback.call(cpuSeconds()))
        .register(registry);
    CounterWithCallback.builder()
        .name("lentilsail_process_allocated_bytes_total")
        .help("Bytes that the threads which run now have allocated on the heap.")
        .callback(callback -> callback.call(allocatedBytes()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("lentilsail_process_resident_bytes")
        .help("Resident memory of this process in bytes.")
        .callback(callback -> callback.call(residentBytes()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("lentilsail_process_heap_used_bytes")
        .help("Used heap in bytes.")
        .callback(
            callback ->
                callback.call(ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()))
        .register(registry);
  }

  private static double cpuSeconds() {
    final OperatingSystemMXBean system =
        ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    return system.getProcessCpuTime() / NANOS_PER_SECOND;
  }

  private static double allocatedBytes() {
    final ThreadMXBean threads = ManagementFactory.getPlatformMXBean(ThreadMXBean.class);
    long result = 0;
    for (final long bytes : threads.getThreadAllocatedBytes(threads.getAllThreadIds())) {
      result += Math.max(0, bytes);
    }
    return result;
  }

  private static double residentBytes() {
    try {
      return Files.readAllLines(STATUS).stream()
          .filter(line -> line.startsWith(RESIDENT_LINE))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D+", "")) * BYTES_PER_KIBIBYTE)
          .findFirst()
          .orElse(0);
    } catch (final IOException error) {
      return 0;
    }
  }
}
