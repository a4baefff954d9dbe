package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lentilsail.model.job.StepSpec;

/**
 * Decides about which workers the advice service is asked next. Each call takes time for every
 * worker that it names and stands in line behind the earlier ones, so the most urgent step comes
 * first, and only as many workers are named as it is likely to need. Steps whose turn has not come
 * are asked about ahead, once nothing else waits. Owned by the control thread.
 */
public final class AdvicePlanner {
  /** Most workers that one call names; the advice service takes 100. */
  private static final int MAX_WORKERS = 30;

  /** Workers named for each one that a step needs, because the policy refuses some. */
  private static final int NAMED_PER_NEEDED = 3;

  private final JobRegistry jobs;
  private final Fleet fleet;

  /**
   * A question to the advice service.
   *
   * @param step the step
   * @param workers the workers that may or may not run it
   */
  public record Question(StepRun step, List<WorkerState> workers) {}

  /**
   * Creates a planner.
   *
   * @param jobs all jobs
   * @param fleet all workers
   */
  public AdvicePlanner(final JobRegistry jobs, final Fleet fleet) {
    this.jobs = jobs;
    this.fleet = fleet;
  }

  /**
   * Chooses the next question.
   *
   * @param now monotonic time in ns
   * @return the question, empty when nothing needs to be asked
   */
  public Optional<Question> next(final long now) {
    final List<StepPriority.Rank> ready = new ArrayList<>();
    final List<StepPriority.Rank> later = new ArrayList<>();
    for (final JobRun job : jobs.active()) {
      if (!job.queue().requiresAdvice()) {
        continue;
      }
      for (final StepRun step : job.steps()) {
        if (step.hasWaitingTasks()) {
          (job.isReady(step) ? ready : later).add(StepPriority.rank(step, now));
        }
      }
    }
    ready.sort(StepPriority.COMPARATOR);
    later.sort(StepPriority.COMPARATOR);
    ready.addAll(later);
    for (final StepPriority.Rank rank : ready) {
      final List<WorkerState> workers = workersToAsk(rank.step(), now);
      if (!workers.isEmpty()) {
        return Optional.of(new Question(rank.step(), workers));
      }
    }
    return Optional.empty();
  }

  private List<WorkerState> workersToAsk(final StepRun step, final long now) {
    final List<WorkerState> open = new ArrayList<>();
    int room = 0;
    for (final WorkerState worker : fleet.ofService(jobs.serviceOf(step.job()))) {
      if (!worker.isSchedulable(now) || !Placement.fits(step, worker)) {
        continue;
      }
      if (!step.permits().validPermit(worker, now).isEmpty()) {
        room += room(step, worker);
      } else if (!step.permits().isRefused(worker)) {
        open.add(worker);
      }
    }
    final int missing = step.waitingTaskCount() - room;
    if (missing <= 0) {
      return List.of();
    }
    open.sort(order(step.permits(), step.spec().dataRack()));
    return open.subList(0, Math.min(open.size(), needed(step, open, missing)));
  }

  /** Workers known to be good come first, then those near the data, then those with most room. */
  private static Comparator<WorkerState> order(final StepPermits permits, final String rack) {
    return Comparator.comparing((WorkerState worker) -> !permits.wasPermitted(worker))
        .thenComparing(worker -> rack.isEmpty() || !worker.hasLabel(rack))
        .thenComparing(worker -> -worker.free().cpuMillis());
  }

  private static int needed(final StepRun step, final List<WorkerState> open, final int missing) {
    int covered = 0;
    int count = 0;
    for (final WorkerState worker : open) {
      if (covered >= missing) {
        break;
      }
      covered += room(step, worker);
      count++;
    }
    return Math.min(MAX_WORKERS, count * NAMED_PER_NEEDED);
  }

  /** Returns how many tasks of a step a worker has room for. */
  private static int room(final StepRun step, final WorkerState worker) {
    final StepSpec spec = step.spec();
    final long cpu = Math.max(1, spec.reserved().cpuMillis());
    final long memory = Math.max(1, spec.reserved().memoryMb());
    final long byResources =
        Math.min(worker.free().cpuMillis() / cpu, worker.free().memoryMb() / memory);
    final long limit =
        spec.maxPerWorker() <= 0
            ? byResources
            : Math.min(byResources, spec.maxPerWorker() - step.runCountOn(worker));
    return (int) Math.max(1, Math.min(limit, spec.count()));
  }
}
