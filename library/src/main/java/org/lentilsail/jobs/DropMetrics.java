package org.lentilsail.jobs;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counters of runs that the leader took for ended without having read their end. Thread-safe. */
final class DropMetrics {
  private final Counter droppedRuns;
  private final Counter freedTasks;
  private final Counter repeatedTasks;

  DropMetrics(final PrometheusRegistry registry) {
    droppedRuns =
        JobMetrics.counter(
            registry, "runs_dropped", "Runs taken for ended without a read end", "reason");
    freedTasks =
        JobMetrics.counter(
            registry, "tasks_freed", "Tasks that may start again without a read end", "reason");
    repeatedTasks =
        JobMetrics.counter(
            registry, "repeated_tasks", "Ends of runs whose task was started again", "event");
  }

  void recordDroppedRun(final String reason) {
    droppedRuns.labelValues(reason).inc();
  }

  void recordFreedTask(final String reason) {
    freedTasks.labelValues(reason).inc();
  }

  void recordRepeatedTask(final String event) {
    repeatedTasks.labelValues(event).inc();
  }
}
