package org.lentilsail.standin.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.policy.job.ActiveRun;
import org.lentilsail.policy.job.FinishedRun;
import org.lentilsail.policy.job.RunOutcome;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.worker.CommandReply;
import org.lentilsail.worker.CommandResult;
import org.lentilsail.worker.PollReply;
import org.lentilsail.worker.PollRequest;
import org.lentilsail.worker.StartCommand;

/** A worker that runs tasks under a lease. Not thread-safe; confined to one executor thread. */
final class SimulatedWorker {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final WorkerEntry entry;
  private final TimeSource time;
  private final ScheduledExecutorService executor;
  private final RunHistory history;
  private final ToLongFunction<TaskId> durations;
  private final Predicate<TaskId> failing;

  /** Number of finished runs that a report lists at most. */
  private final IntSupplier listLimit;

  private final WorkerLeaseTerms leaseTerms;

  /** Monotonic time in ns at which this incarnation, and with it its clock, has started. */
  private final long startedAt;

  private final Map<TaskId, Running> running = new LinkedHashMap<>();
  private final Map<TaskId, Integer> highestFinished = new HashMap<>();
  private final List<FinishedRun> unacknowledged = new ArrayList<>();
  private final List<CompletableFuture<Void>> pendingPolls = new ArrayList<>();
  private long token;
  private long leaseExpiry;
  private long lastSequence;
  private boolean alive = true;

  /**
   * An active run.
   *
   * @param run number of the run
   * @param startedAt monotonic start time in ns
   */
  private record Running(int run, long startedAt) {}

  SimulatedWorker(
      final WorkerEntry entry,
      final TimeSource time,
      final ScheduledExecutorService executor,
      final RunHistory history,
      final ToLongFunction<TaskId> durations,
      final Predicate<TaskId> failing,
      final IntSupplier listLimit,
      final WorkerLeaseTerms leaseTerms) {
    this.listLimit = listLimit;
    this.leaseTerms = leaseTerms;
    this.startedAt = time.nanos();
    this.entry = entry;
    this.time = time;
    this.executor = executor;
    this.history = history;
    this.durations = durations;
    this.failing = failing;
  }

  WorkerEntry entry() {
    return entry;
  }

  boolean isAlive() {
    return alive;
  }

  int runs() {
    return running.size();
  }

  Set<TaskId> tasks() {
    return Set.copyOf(running.keySet());
  }

  void crash() {
    alive = false;
    running.forEach((task, run) -> history.ended(task, run.run(), false, entry.id(), now()));
    running.clear();
  }

  /** Crashes and loses the outcomes of the finished runs that have not been acknowledged. */
  void fail() {
    loseOutcomes();
    crash();
  }

  private void loseOutcomes() {
    unacknowledged.stream()
        .filter(run -> run.outcome() == RunOutcome.DONE)
        .forEach(run -> history.outcomeLost(run.task()));
  }

  CommandReply start(final StartCommand command) {
    if (command.token() < token) {
      return reply(CommandResult.FENCED);
    }
    token = command.token();
    final Running active = running.get(command.task());
    if (active != null && active.run() == command.run()) {
      return reply(CommandResult.DONE);
    }
    if (command.expiryMillis() <= clock()) {
      return reply(CommandResult.LATE);
    }
    extendLease(command.expiryMillis());
    if (active != null || command.run() <= highestFinished.getOrDefault(command.task(), 0)) {
      return reply(CommandResult.OUTDATED);
    }
    startRun(command.task(), command.run());
    return reply(CommandResult.DONE);
  }

  CommandReply stop(final TaskId task, final int run, final long fencingToken) {
    if (fencingToken < token) {
      return reply(CommandResult.FENCED);
    }
    token = fencingToken;
    highestFinished.merge(task, run, Math::max);
    final Running active = running.get(task);
    if (active != null && active.run() == run) {
      finishRun(task, active, RunOutcome.STOPPED);
    }
    return reply(CommandResult.DONE);
  }

  CompletableFuture<PollReply> poll(final PollRequest request) {
    if (request.token() < token) {
      return CompletableFuture.completedFuture(
          new PollReply(CommandResult.FENCED, Optional.empty(), "fence"));
    }
    token = request.token();
    if (request.leaseExpiryMillis() > 0) {
      extendLease(request.leaseExpiryMillis());
    }
    unacknowledged.removeIf(run -> run.sequence() <= request.acknowledgedSequence());
    if (!unacknowledged.isEmpty() || request.waitMillis() == 0) {
      return CompletableFuture.completedFuture(report());
    }
    final CompletableFuture<Void> change = new CompletableFuture<>();
    pendingPolls.add(change);
    executor.schedule(() -> change.complete(null), request.waitMillis(), TimeUnit.MILLISECONDS);
    return change.thenApply(done -> report());
  }

  private PollReply report() {
    final List<ActiveRun> runs = new ArrayList<>();
    running.forEach((task, run) -> runs.add(new ActiveRun(task, run.run(), "", 100, 1)));
    final int limit = listLimit.getAsInt();
    final List<FinishedRun> listed =
        unacknowledged.subList(0, Math.min(unacknowledged.size(), limit));
    final boolean complete = listed.size() < limit;
    return new PollReply(
        CommandResult.DONE,
        Optional.of(new WorkerReport(clock(), entry.startTimeMillis(), runs, listed, complete)),
        "");
  }

  private void startRun(final TaskId task, final int run) {
    final Running started = new Running(run, now());
    running.put(task, started);
    history.started(task, run, entry.id(), now());
    final long duration = durations.applyAsLong(task);
    if (duration > 0) {
      executor.schedule(() -> complete(task, started), duration, TimeUnit.MILLISECONDS);
    }
  }

  private void complete(final TaskId task, final Running run) {
    if (alive && running.get(task) == run) {
      finishRun(task, run, failing.test(task) ? RunOutcome.FAILED : RunOutcome.DONE);
    }
  }

  private void finishRun(final TaskId task, final Running run, final RunOutcome outcome) {
    running.remove(task);
    highestFinished.merge(task, run.run(), Math::max);
    lastSequence++;
    unacknowledged.add(new FinishedRun(lastSequence, task, run.run(), outcome, ""));
    history.ended(task, run.run(), outcome == RunOutcome.DONE, entry.id(), now());
    if (outcome == RunOutcome.FAILED) {
      history.failed(task);
    }
    pendingPolls.forEach(change -> change.complete(null));
    pendingPolls.clear();
  }

  private void extendLease(final long expiry) {
    leaseExpiry = Math.max(leaseExpiry, Math.min(expiry, clock() + leaseTerms.maxLeaseMillis()));
    final double remainingMillis = (leaseExpiry - clock() + 1) / leaseTerms.clockRate();
    executor.schedule(
        this::expire, Math.max(1, (long) Math.ceil(remainingMillis)), TimeUnit.MILLISECONDS);
  }

  /**
   * Ends all runs once the lease has expired. Tasks that have finished since their worker last had
   * a leader may run again: what a worker reports after its lease has expired comes too late.
   */
  private void expire() {
    if (alive && clock() > leaseExpiry) {
      loseOutcomes();
      List.copyOf(running.entrySet())
          .forEach(run -> finishRun(run.getKey(), run.getValue(), RunOutcome.EXPIRED));
    }
  }

  private CommandReply reply(final CommandResult result) {
    return new CommandReply(result, clock(), result.name());
  }

  /** Returns the time in ms of a clock that begins anew with each incarnation. */
  private long clock() {
    return 1 + (long) ((now() - startedAt) * leaseTerms.clockRate()) / NANOS_PER_MILLI;
  }

  private long now() {
    return time.nanos();
  }
}
