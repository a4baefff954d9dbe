package org.lentilsail.jobs;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.lentilsail.model.job.Resources;
import org.lentilsail.policy.access.AccessRejection;

/** Counters and latency histograms of job control and of the API for callers. Thread-safe. */
public final class JobMetrics {
  /** Upper bounds in seconds, for store calls of 4 ms and tasks of about one second. */
  private static final double[] BUCKETS = {
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20
  };

  private static final double NANOS_PER_SECOND = 1e9;

  private final Counter requests;
  private final Histogram requestLatency;
  private final Counter organisationRequests;
  private final Counter accessRejections;
  private final Counter taskStarts;
  private final Histogram taskWait;
  private final Counter endedJobs;
  private final Histogram jobAge;
  private final Counter machineCommands;
  private final Gauge longestIdleJob;
  private final Gauge usedByOrganisation;
  private final Gauge heldJobs;
  private final Set<String> organisations = ConcurrentHashMap.newKeySet();
  private final Counter storeReturns;
  private final DropMetrics drops;

  /**
   * Creates and registers the metrics.
   *
   * @param registry registry through which they are published
   */
  public JobMetrics(final PrometheusRegistry registry) {
    requests = counter(registry, "requests", "Requests of callers", "method", "status");
    requestLatency =
        histogram(registry, "request_seconds", "Time from a complete request to its answer");
    organisationRequests =
        counter(
            registry,
            "organisation_requests",
            "Requests of callers that were served with a key or without one, by organisation",
            "organisation",
            "status");
    accessRejections =
        counter(registry, "access_rejections", "Requests rejected before their body", "reason");
    taskStarts =
        counter(registry, "task_starts", "Starts of tasks by answer of the worker", "answer");
    taskWait = histogram(registry, "task_wait_seconds", "Time that a task waited for a worker");
    endedJobs = counter(registry, "jobs_ended", "Jobs that reached a final state", "state");
    jobAge = histogram(registry, "job_seconds", "Time from the acceptance of a job to its end");
    machineCommands =
        counter(registry, "machine_orders", "Orders about machines by answer", "kind", "answer");
    storeReturns =
        counter(registry, "store_returns", "Outages of the store that have ended for this daemon");
    drops = new DropMetrics(registry);
    longestIdleJob =
        Gauge.builder()
            .name("lentilsail_longest_idle_job_seconds")
            .help("Longest time for which a job that no quota holds back has had no run")
            .register(registry);
    usedByOrganisation =
        Gauge.builder()
            .name("lentilsail_organisation_used")
            .help("Resources that count against the quota of an organisation")
            .labelNames("organisation", "resource")
            .register(registry);
    heldJobs =
        Gauge.builder()
            .name("lentilsail_organisation_held_jobs")
            .help("Jobs with a ready step that the quota of their organisation holds back")
            .labelNames("organisation")
            .register(registry);
  }

  /**
   * Records a request of a caller.
   *
   * @param method request method
   * @param status status code of the response
   * @param nanos time in ns from the complete request to the response
   */
  public void recordRequest(final String method, final int status, final long nanos) {
    requests.labelValues(method, Integer.toString(status)).inc();
    requestLatency.observe(nanos / NANOS_PER_SECOND);
  }

  /**
   * Records a request of a caller that has passed the check of its key.
   *
   * @param organisation name of the organisation in the configuration, empty for none
   * @param status status code of the response
   */
  public void recordOrganisationRequest(final String organisation, final int status) {
    organisationRequests.labelValues(organisation, Integer.toString(status)).inc();
  }

  /**
   * Records a request that was rejected because of its key.
   *
   * @param reason the reason
   */
  public void recordAccessRejection(final AccessRejection reason) {
    accessRejections.labelValues(reason.name()).inc();
  }

  void recordTaskStart(final String answer, final long waitedNanos) {
    taskStarts.labelValues(answer).inc();
    taskWait.observe(waitedNanos / NANOS_PER_SECOND);
  }

  void recordJobEnd(final String state, final long ageNanos) {
    endedJobs.labelValues(state).inc();
    jobAge.observe(ageNanos / NANOS_PER_SECOND);
  }

  void recordMachineCommand(final String kind, final String answer) {
    machineCommands.labelValues(kind, answer).inc();
  }

  void recordStoreReturn() {
    storeReturns.inc();
  }

  /** Returns the counters of runs that ended without a read end. */
  DropMetrics drops() {
    return drops;
  }

  void recordLongestIdleJob(final long idleNanos) {
    longestIdleJob.set(idleNanos / NANOS_PER_SECOND);
  }

  /** Records what an organisation of the configuration has running, and its held jobs. */
  void recordOrganisation(final String name, final Resources used, final int held) {
    organisations.add(name);
    usedByOrganisation.labelValues(name, "cpu").set(used.cpuMillis());
    usedByOrganisation.labelValues(name, "memory").set(used.memoryMb());
    usedByOrganisation.labelValues(name, "gpu").set(used.gpus());
    heldJobs.labelValues(name).set(held);
  }

  /** Removes the values of an organisation that the configuration no longer contains. */
  void removeOrganisation(final String name) {
    if (organisations.remove(name)) {
      usedByOrganisation.remove(name, "cpu");
      usedByOrganisation.remove(name, "memory");
      usedByOrganisation.remove(name, "gpu");
      heldJobs.remove(name);
    }
  }

  /** Removes the values of all organisations, which only the leader knows. */
  void clearOrganisations() {
    organisations.forEach(this::removeOrganisation);
  }

  static Counter counter(
      final PrometheusRegistry registry,
      final String name,
      final String help,
      final String... labels) {
    return Counter.builder()
        .name("lentilsail_" + name + "_total")
        .help(help)
        .labelNames(labels)
        .register(registry);
  }

  private static Histogram histogram(
      final PrometheusRegistry registry, final String name, final String help) {
    return Histogram.builder()
        .name("lentilsail_" + name)
        .help(help)
        .classicOnly()
        .classicUpperBounds(BUCKETS)
        .register(registry);
  }
}
