package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.QueueSpec;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.job.TaskId;

/** All jobs known to the leader; confined to the control thread. */
public final class JobRegistry {
  /**
   * Attempts allowed for a job that an earlier version accepted for a queue that the configuration
   * lacks.
   */
  private static final int DEFAULT_ATTEMPTS = 4;

  /** Upper limit of the age of a submission in ns; the clocks of VMs may differ by seconds. */
  private static final long MAX_AGE_NANOS = 60_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<String, JobRun> jobs = new LinkedHashMap<>();
  private final Set<JobRun> active = new LinkedHashSet<>();

  /** Unscheduled jobs that wait for room for their tasks, in the order of their acceptance. */
  private final Set<JobRun> deferred = new LinkedHashSet<>();

  /** Jobs that have ended and may still have runs. */
  private final Set<JobRun> ended = new LinkedHashSet<>();

  private final TaskBudget budget = new TaskBudget();
  private final Set<JobRun> unsaved = new LinkedHashSet<>();
  private final OrganisationAccounts accounts = new OrganisationAccounts();
  private final ExcessJobs excess = new ExcessJobs();
  private JobConfiguration configuration = JobConfiguration.empty();

  /**
   * Applies a new configuration, also to the queues of unfinished jobs.
   *
   * @param newConfiguration the configuration
   */
  public void configuration(final JobConfiguration newConfiguration) {
    configuration = newConfiguration;
    accounts.configuration(newConfiguration);
    excess.configuration(newConfiguration);
    for (final JobRun job : active) {
      newConfiguration.queue(job.submitted().queue()).ifPresent(job::updateQueue);
    }
  }

  /**
   * Returns the current configuration.
   *
   * @return the configuration
   */
  public JobConfiguration configuration() {
    return configuration;
  }

  /**
   * Returns the accounts of the organisations.
   *
   * @return quotas and usage of all organisations
   */
  public OrganisationAccounts accounts() {
    return accounts;
  }

  /**
   * Adds a job if it is not known yet. An unscheduled job starts its only occurrence at once, or as
   * soon as there is room for its tasks.
   *
   * @param submitted the job
   * @param ageMillis time since the job was accepted in ms
   * @param now monotonic time in ns
   * @return the new job, or the known job with the same id
   */
  public JobRun accept(final SubmittedJob submitted, final long ageMillis, final long now) {
    final JobRun known = jobs.get(submitted.spec().id());
    if (known != null) {
      return known;
    }
    final long age = Math.min(Math.max(ageMillis, 0) * NANOS_PER_MILLI, MAX_AGE_NANOS);
    final OrganisationAccount account = accounts.account(submitted.organisation());
    final JobRun job = new JobRun(submitted, queueOf(submitted), account, now - age, budget);
    jobs.put(job.id(), job);
    active.add(job);
    excess.add(job);
    if (!submitted.spec().timed()
        && !job.isSetAside()
        && (!deferred.isEmpty() || !job.startNextOccurrence(now))) {
      deferred.add(job);
    }
    return job;
  }

  /**
   * Restores the persisted progress of a job; does nothing if the job is not known.
   *
   * @param id id of the job
   * @param progress persisted progress
   * @param now monotonic time in ns
   */
  public void restore(final String id, final JobProgress progress, final long now) {
    final JobRun job = jobs.get(id);
    if (job != null) {
      job.restore(progress, now);
      retire(job);
      job.dropDone();
    }
  }

  /**
   * Cancels a job.
   *
   * @param id id of the job
   * @param wallMillis wall clock time in ms since the Unix epoch
   * @return the job if this call cancelled it, null if it has already ended or is not known
   */
  public JobRun cancel(final String id, final long wallMillis) {
    final JobRun job = jobs.get(id);
    if (job == null || job.state().isFinal()) {
      return null;
    }
    finish(job, JobState.CANCELLED, wallMillis);
    return job;
  }

  /**
   * Drops what is done, and starts the occurrences that are due as far as there is room for their
   * tasks.
   *
   * @param wallMillis wall clock time in ms since the Unix epoch
   * @param now monotonic time in ns
   */
  public void startDueOccurrences(final long wallMillis, final long now) {
    ended.forEach(JobRun::dropDone);
    ended.removeIf(job -> !job.activity().hasRuns());
    startDeferred(now);
    for (final JobRun job : active) {
      final JobSpec spec = job.submitted().spec();
      if (spec.timed()) {
        job.dropDone();
        boolean hasRoom = true;
        while (hasRoom
            && job.occurrences().next() < spec.maxRuns()
            && spec.isDue(job.occurrences().next(), wallMillis)) {
          hasRoom = job.startNextOccurrence(now);
        }
      }
    }
  }

  /** Starts the jobs that have waited for room, in the order of their acceptance. */
  private void startDeferred(final long now) {
    deferred.removeIf(
        job -> job.state().isFinal() || job.isSetAside() || job.occurrences().next() > 0);
    final var waiting = deferred.iterator();
    while (waiting.hasNext() && waiting.next().startNextOccurrence(now)) {
      waiting.remove();
    }
  }

  /**
   * Finds a job.
   *
   * @param id id of the job
   * @return the job, null if it is not known
   */
  public JobRun job(final String id) {
    return jobs.get(id);
  }

  /**
   * Finds the task of a run that a worker has reported. The run shows that its occurrence was due
   * and that an earlier leader started it, so this leader starts it too if it has not yet.
   *
   * @param id id of the task
   * @param now monotonic time in ns
   * @return the task, null if no known job can have it
   */
  public Task taskOfRun(final TaskId id, final long now) {
    final JobRun job = jobs.get(id.job());
    if (job == null) {
      return null;
    }
    job.startReportedOccurrence(id.occurrence(), now);
    return job.task(id);
  }

  /**
   * Returns the unfinished jobs.
   *
   * @return the jobs in order of acceptance
   */
  public Collection<JobRun> active() {
    return Collections.unmodifiableSet(active);
  }

  /**
   * Returns all jobs, including finished ones.
   *
   * @return the jobs in order of acceptance
   */
  public Collection<JobRun> all() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /**
   * Returns the name of the service that runs a job.
   *
   * @param job the job
   * @return name of the service
   */
  public String serviceOf(final JobRun job) {
    return job.queue().service();
  }

  /** Returns whether a job was submitted beyond the weight of its organisation. */
  boolean isInExcess(final JobRun job) {
    return excess.contains(job);
  }

  /**
   * Removes and returns jobs whose progress has changed since they were last persisted.
   *
   * @param limit maximum number of jobs
   * @return the jobs; they no longer count as unsaved
   */
  public List<JobRun> takeUnsaved(final int limit) {
    final List<JobRun> taken = new ArrayList<>();
    final var iterator = unsaved.iterator();
    while (iterator.hasNext() && taken.size() < limit) {
      taken.add(iterator.next());
      iterator.remove();
    }
    return taken;
  }

  /**
   * Marks the progress of a job as changed, so that it is persisted again.
   *
   * @param job the job
   */
  public void markChanged(final JobRun job) {
    unsaved.add(job);
  }

  /**
   * Returns whether any progress has to be persisted.
   *
   * @return whether a job has unsaved changes
   */
  public boolean hasUnsaved() {
    return !unsaved.isEmpty();
  }

  /**
   * Removes a job whose retention period after its final state has passed.
   *
   * @param id id of the job
   */
  public void remove(final String id) {
    final JobRun job = jobs.remove(id);
    if (job != null) {
      active.remove(job);
      unsaved.remove(job);
      deferred.remove(job);
      ended.remove(job);
      excess.remove(job);
    }
  }

  void finish(final JobRun job, final JobState state, final long wallMillis) {
    job.finish(state, wallMillis);
    retire(job);
    markChanged(job);
  }

  void retire(final JobRun job) {
    if (job.state().isFinal() && active.remove(job)) {
      ended.add(job);
    }
  }

  private QueueSpec queueOf(final SubmittedJob submitted) {
    return configuration
        .queue(submitted.queue())
        .or(() -> Optional.ofNullable(submitted.queueSettings()))
        .orElseGet(() -> defaultQueue(submitted));
  }

  private static QueueSpec defaultQueue(final SubmittedJob submitted) {
    return new QueueSpec(
        submitted.queue(), "", "", submitted.service(), 0, DEFAULT_ATTEMPTS, 1, 0, false, false);
  }
}
