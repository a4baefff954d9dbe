package org.lentilsail.standin.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
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

/** One worker that runs tasks under a lease. Not thread-safe; used on one executor thread. */
final class SimulatedWorker {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final WorkerEntry entry;
  private final TimeSource time;
  private final ScheduledExecutorService executor;
  private final RunHistory history;
  private final ToLongFunction<TaskId> durations;
  private final Map<TaskId, Running> running = new LinkedHashMap<>();
  private final Map<TaskId, Integer> highestEnded = new HashMap<>();
  private final List<FinishedRun> ended = new ArrayList<>();
  private final List<CompletableFuture<Void>> waiting = new ArrayList<>();
  private long token;
  private long leaseUntil;
  private long endCount;
  private boolean alive = true;

  /**
   * A run under way.
   *
   * @param run number of the run
   * @param startedAt monotonic time in ns of the start
   */
  private record Running(int run, long startedAt) {}

  SimulatedWorker(
      final WorkerEntry entry,
      final TimeSource time,
      final ScheduledExecutorService executor,
      final RunHistory history,
      final ToLongFunction<TaskId> durations) {
    this.entry = entry;
    this.time = time;
    this.executor = executor;
    this.history = history;
    this.durations = durations;
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

  void crash() {
    alive = false;
    running.forEach((task, run) -> history.ended(task, run.run(), false, now()));
    running.clear();
  }

  /** Ends with what it has not been asked for: ends that were not acknowledged are lost. */
  void fail() {
    ended.stream()
        .filter(end -> end.outcome() == RunOutcome.DONE)
        .forEach(end -> history.outcomeLost(end.task()));
    crash();
  }

  CommandReply start(final StartCommand order) {
    if (order.token() < token) {
      return reply(CommandResult.FENCED);
    }
    token = order.token();
    final Running known = running.get(order.task());
    if (known != null && known.run() == order.run()) {
      return reply(CommandResult.DONE);
    }
    if (order.expiryMillis() <= clock()) {
      return reply(CommandResult.LATE);
    }
    extend(order.expiryMillis());
    if (known != null || order.run() <= highestEnded.getOrDefault(order.task(), 0)) {
      return reply(CommandResult.OUTDATED);
    }
    begin(order.task(), order.run());
    return reply(CommandResult.DONE);
  }

  CommandReply stop(final TaskId task, final int run, final long fencingToken) {
    if (fencingToken < token) {
      return reply(CommandResult.FENCED);
    }
    token = fencingToken;
    highestEnded.merge(task, run, Math::max);
    final Running known = running.get(task);
    if (known != null && known.run() == run) {
      end(task, known, RunOutcome.STOPPED);
    }
    return reply(CommandResult.DONE);
  }

  CompletableFuture<PollReply> poll(final PollRequest order) {
    if (order.token() < token) {
      return CompletableFuture.completedFuture(
          new PollReply(CommandResult.FENCED, Optional.empty(), "fence"));
    }
    token = order.token();
    if (order.leaseExpiryMillis() > 0) {
      extend(order.leaseExpiryMillis());
    }
    ended.removeIf(end -> end.sequence() <= order.acknowledgedSequence());
    if (!ended.isEmpty() || order.waitMillis() == 0) {
      return CompletableFuture.completedFuture(listed());
    }
    final CompletableFuture<Void> change = new CompletableFuture<>();
    waiting.add(change);
    executor.schedule(() -> change.complete(null), order.waitMillis(), TimeUnit.MILLISECONDS);
    return change.thenApply(done -> listed());
  }

  private PollReply listed() {
    final List<ActiveRun> runs = new ArrayList<>();
    running.forEach((task, run) -> runs.add(new ActiveRun(task, run.run(), "", 100, 1)));
    return new PollReply(
        CommandResult.DONE,
        Optional.of(new WorkerReport(clock(), entry.startTimeMillis(), runs, ended)),
        "");
  }

  private void begin(final TaskId task, final int run) {
    final Running started = new Running(run, now());
    running.put(task, started);
    history.started(task, run, now());
    final long duration = durations.applyAsLong(task);
    if (duration > 0) {
      executor.schedule(() -> finish(task, started), duration, TimeUnit.MILLISECONDS);
    }
  }

  private void finish(final TaskId task, final Running run) {
    if (alive && running.get(task) == run) {
      end(task, run, RunOutcome.DONE);
    }
  }

  private void end(final TaskId task, final Running run, final RunOutcome how) {
    running.remove(task);
    highestEnded.merge(task, run.run(), Math::max);
    endCount++;
    ended.add(new FinishedRun(endCount, task, run.run(), how, ""));
    history.ended(task, run.run(), how == RunOutcome.DONE, now());
    waiting.forEach(change -> change.complete(null));
    waiting.clear();
  }

  private void extend(final long until) {
    leaseUntil = Math.max(leaseUntil, until);
    executor.schedule(this::expire, Math.max(1, leaseUntil - clock() + 1), TimeUnit.MILLISECONDS);
  }

  private void expire() {
    if (alive && clock() > leaseUntil) {
      List.copyOf(running.entrySet())
          .forEach(run -> end(run.getKey(), run.getValue(), RunOutcome.EXPIRED));
    }
  }

  private CommandReply reply(final CommandResult answer) {
    return new CommandReply(answer, clock(), answer.name());
  }

  private long clock() {
    return now() / NANOS_PER_MILLI;
  }

  private long now() {
    return time.nanos();
  }
}
