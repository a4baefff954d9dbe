package org.lentilsail.policy.job;

import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.CORES;
import static org.lentilsail.policy.job.JobFixture.MILLI;
import static org.lentilsail.policy.job.JobFixture.SECOND;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.lentilsail.model.job.Resources;

/**
 * One pool on a manual clock. It records for how long a job had no run, or a long-running task had
 * none, although a task was ready, its capacity was free twice and, for a job of batch tasks, less
 * than half of the CPU of the pool was in use.
 */
final class PoolSimulation {
  static final long TICK_NANOS = 100 * MILLI;

  /** Time in ns after its last run from which callers expect a long-running task to have one. */
  private static final long LONG_RUNNING_GRACE_NANOS = 6 * SECOND;

  final JobFixture fixture = new JobFixture();
  private final Function<TaskRun, Ending> endingOf;
  private final Map<TaskRun, Ending> endings = new HashMap<>();
  private final Map<Object, Long> waitingSince = new HashMap<>();
  private final Map<Task, Long> lastRunAt = new HashMap<>();
  private long now;

  /** Longest time in ns without a run of a job. */
  long longestJobWait;

  /** Longest time in ns without a run of a long-running task. */
  long longestTaskWait;

  /** The part of the longest time that lies after the grace time of a long-running task. */
  long longestLateTaskWait;

  /**
   * How a run ends.
   *
   * @param after time in ns from its start
   * @param outcome outcome that the worker reports, null if the start is rejected
   * @param quarantine whether its worker is quarantined, as for a stuck run
   */
  record Ending(long after, RunOutcome outcome, boolean quarantine) {}

  PoolSimulation(final int workers, final Function<TaskRun, Ending> endingOf) {
    this.endingOf = endingOf;
    for (int i = 0; i < workers; i++) {
      fixture.worker("w" + i, BOOKING);
    }
  }

  long now() {
    return now;
  }

  void runUntil(final long end) {
    while (now < end) {
      tick();
    }
  }

  /** Ends the runs that are due, places tasks, and moves the clock on. */
  void tick() {
    List.copyOf(endings.keySet()).stream()
        .filter(run -> now - run.createdAt() >= endings.get(run).after())
        .sorted((a, b) -> Integer.compare(a.number(), b.number()))
        .forEach(run -> end(run, endings.get(run)));
    fixture.scheduler.place(now).forEach(start -> begin(start.run()));
    fixture.tracker.takeCommands().stream()
        .map(RunCommand::run)
        .filter(endings::containsKey)
        .forEach(run -> end(run, new Ending(0, RunOutcome.STOPPED, false)));
    fixture.jobs.active().forEach(this::observe);
    now += TICK_NANOS;
  }

  private void begin(final TaskRun run) {
    final Ending ending = endingOf.apply(run);
    if (ending.outcome() == null) {
      fixture.tracker.startRejected(run, JobFixture.EVIDENCE, now);
    } else {
      fixture.tracker.startAccepted(run, now);
      endings.put(run, ending);
    }
  }

  private void end(final TaskRun run, final Ending ending) {
    endings.remove(run);
    lastRunAt.put(run.task(), now);
    if (ending.quarantine()) {
      run.worker().health().quarantine(now);
    }
    fixture.finish(run, ending.outcome(), now);
  }

  private void observe(final JobRun job) {
    final List<Task> ready =
        job.steps().stream()
            .filter(step -> !step.isDone() && job.isReady(step))
            .flatMap(step -> step.tasks().stream())
            .filter(Task::isWaiting)
            .toList();
    final boolean running =
        job.steps().stream()
            .flatMap(step -> step.tasks().stream())
            .anyMatch(task -> !task.runs().isEmpty());
    final boolean due =
        !running
            && cpuInUse() * 2 < (long) CORES * workers().size()
            && ready.stream().anyMatch(task -> isFreeTwice(task.step()));
    longestJobWait = Math.max(longestJobWait, wait(job, due));
    for (final StepRun step : job.steps()) {
      if (step.spec().longRunning()) {
        step.tasks().forEach(task -> observe(task, ready.contains(task)));
      }
    }
  }

  private void observe(final Task task, final boolean ready) {
    final long wait = wait(task, ready && isFreeTwice(task.step()));
    final Long last = lastRunAt.get(task);
    final long late =
        last == null ? wait : Math.min(wait, now + TICK_NANOS - last - LONG_RUNNING_GRACE_NANOS);
    longestTaskWait = Math.max(longestTaskWait, wait);
    longestLateTaskWait = Math.max(longestLateTaskWait, late);
  }

  private long wait(final Object waiting, final boolean due) {
    if (!due) {
      waitingSince.remove(waiting);
      return 0;
    }
    return now + TICK_NANOS - waitingSince.computeIfAbsent(waiting, key -> now);
  }

  private List<WorkerState> workers() {
    return fixture.fleet.ofService(BOOKING).stream().filter(WorkerState::isResponding).toList();
  }

  private long cpuInUse() {
    return workers().stream().mapToLong(worker -> CORES - worker.free().cpuMillis()).sum();
  }

  private boolean isFreeTwice(final StepRun step) {
    return workers().stream().collect(Collectors.summingInt(worker -> room(step, worker))) >= 2;
  }

  private static int room(final StepRun step, final WorkerState worker) {
    final Resources demand = step.spec().reserved();
    final int limit = step.spec().maxPerWorker();
    int room = 0;
    Resources free = worker.free();
    while (room < 2 && demand.fitsIn(free)) {
      free = free.minus(demand);
      room++;
    }
    return limit <= 0 ? room : Math.max(0, Math.min(room, limit - step.runCountOn(worker)));
  }
}
