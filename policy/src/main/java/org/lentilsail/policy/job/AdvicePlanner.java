package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lentilsail.model.job.StepSpec;

/**
 * Chooses the next request to the advice service. The service processes requests one after the
 * other, and a request takes longer the more workers it names, so the most urgent step comes first,
 * with only as many workers as it is likely to need. Steps that are not ready to start follow once
 * no ready step needs permits. Confined to the control thread.
 */
public final class AdvicePlanner {
  /** Maximum number of workers in one request; the advice service accepts 100. */
  private static final int MAX_WORKERS = 30;

  /** Number of workers named for each worker that a step needs; the policy refuses some of them. */
  private static final int NAMED_PER_NEEDED_WORKER = 3;

  /**
   * Time in ns before the wait limit of a job from which permits are requested for workers that may
   * be faulty; a request takes up to this time.
   */
  private static final long REQUEST_LEAD_NANOS = 500_000_000L;

  private final JobRegistry jobs;
  private final Fleet fleet;

  /**
   * A request to the advice service.
   *
   * @param step the step
   * @param workers the workers to ask about
   */
  public record AdviceRequest(StepRun step, List<WorkerState> workers) {}

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
   * Chooses the next request.
   *
   * @param now monotonic time in ns
   * @return the request, empty if no permits are needed
   */
  public Optional<AdviceRequest> next(final long now) {
    final List<StepPriority.Rank> ready = new ArrayList<>();
    final List<StepPriority.Rank> notReady = new ArrayList<>();
    for (final JobRun job : jobs.active()) {
      if (!job.queue().requiresAdvice()) {
        continue;
      }
      for (final StepRun step : job.steps()) {
        if (step.hasWaitingTasks()) {
          (job.isReady(step) ? ready : notReady)
              .add(StepPriority.rank(step, StepPriority.rank(job, jobs.isInExcess(job), now)));
        }
      }
    }
    ready.sort(StepPriority.COMPARATOR);
    notReady.sort(StepPriority.COMPARATOR);
    ready.addAll(notReady);
    for (final StepPriority.Rank rank : ready) {
      final List<WorkerState> workers = workersToAsk(rank.step(), now);
      if (!workers.isEmpty()) {
        return Optional.of(new AdviceRequest(rank.step(), workers));
      }
    }
    return Optional.empty();
  }

  private List<WorkerState> workersToAsk(final StepRun step, final long now) {
    final int startableTasks = step.startableTaskCount();
    if (startableTasks == 0) {
      return List.of();
    }
    final List<WorkerState> workers = fleet.ofService(jobs.serviceOf(step.job()));
    final boolean limitReached = WaitLimit.isReached(step, workers, now + REQUEST_LEAD_NANOS);
    final List<WorkerState> undecided = new ArrayList<>();
    int taskCapacity = 0;
    for (final WorkerState worker : workers) {
      final boolean usable = limitReached ? worker.isAvailable(now) : worker.isSchedulable(now);
      if (!usable || !Placement.fits(step, worker)) {
        continue;
      }
      if (!step.permits().validPermit(worker, now).isEmpty()) {
        taskCapacity += taskCapacity(step, worker);
      } else if (!step.permits().isRefused(worker)) {
        undecided.add(worker);
      }
    }
    final int uncoveredTasks = startableTasks - taskCapacity;
    if (uncoveredTasks <= 0) {
      return List.of();
    }
    undecided.sort(preference(step.permits(), step.spec().dataRack()));
    return undecided.subList(
        0, Math.min(undecided.size(), workerCount(step, undecided, uncoveredTasks)));
  }

  /**
   * Sorts workers that were permitted before first, then those in the rack of the data, then those
   * with the most free CPU.
   */
  private static Comparator<WorkerState> preference(final StepPermits permits, final String rack) {
    return Comparator.comparing((WorkerState worker) -> !permits.wasPermitted(worker))
        .thenComparing(worker -> rack.isEmpty() || !worker.hasLabel(rack))
        .thenComparing(worker -> -worker.free().cpuMillis());
  }

  private static int workerCount(
      final StepRun step, final List<WorkerState> undecided, final int uncoveredTasks) {
    int coveredTasks = 0;
    int count = 0;
    for (final WorkerState worker : undecided) {
      if (coveredTasks >= uncoveredTasks) {
        break;
      }
      coveredTasks += taskCapacity(step, worker);
      count++;
    }
    return Math.min(MAX_WORKERS, count * NAMED_PER_NEEDED_WORKER);
  }

  /** Returns how many tasks of a step fit on a worker; at least 1. */
  private static int taskCapacity(final StepRun step, final WorkerState worker) {
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
