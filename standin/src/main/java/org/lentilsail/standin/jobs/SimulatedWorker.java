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
import org.lentilsail.policy.job.ListedEnd;
import org.lentilsail.policy.job.ListedRun;
import org.lentilsail.policy.job.RunEnd;
import org.lentilsail.policy.job.WorkerList;
import org.lentilsail.worker.LookOrder;
import org.lentilsail.worker.LookReply;
import org.lentilsail.worker.OrderAnswer;
import org.lentilsail.worker.OrderReply;
import org.lentilsail.worker.StartOrder;

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
  private final List<ListedEnd> ended = new ArrayList<>();
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
        .filter(end -> end.how() == RunEnd.DONE)
        .forEach(end -> history.endLost(end.task()));
    crash();
  }

  OrderReply start(final StartOrder order) {
    if (order.token() < token) {
      return reply(OrderAnswer.FENCED);
    }
    token = order.token();
    final Running known = running.get(order.task());
    if (known != null && known.run() == order.run()) {
      return reply(OrderAnswer.DONE);
    }
    if (order.untilMillis() <= clock()) {
      return reply(OrderAnswer.LATE);
    }
    extend(order.untilMillis());
    if (known != null || order.run() <= highestEnded.getOrDefault(order.task(), 0)) {
      return reply(OrderAnswer.OUTDATED);
    }
    begin(order.task(), order.run());
    return reply(OrderAnswer.DONE);
  }

  OrderReply stop(final TaskId task, final int run, final long fencingToken) {
    if (fencingToken < token) {
      return reply(OrderAnswer.FENCED);
    }
    token = fencingToken;
    highestEnded.merge(task, run, Math::max);
    final Running known = running.get(task);
    if (known != null && known.run() == run) {
      end(task, known, RunEnd.STOPPED);
    }
    return reply(OrderAnswer.DONE);
  }

  CompletableFuture<LookReply> look(final LookOrder order) {
    if (order.token() < token) {
      return CompletableFuture.completedFuture(
          new LookReply(OrderAnswer.FENCED, Optional.empty(), "fence"));
    }
    token = order.token();
    if (order.untilMillis() > 0) {
      extend(order.untilMillis());
    }
    ended.removeIf(end -> end.number() <= order.endsKept());
    if (!ended.isEmpty() || order.waitMillis() == 0) {
      return CompletableFuture.completedFuture(listed());
    }
    final CompletableFuture<Void> change = new CompletableFuture<>();
    waiting.add(change);
    executor.schedule(() -> change.complete(null), order.waitMillis(), TimeUnit.MILLISECONDS);
    return change.thenApply(done -> listed());
  }

  private LookReply listed() {
    final List<ListedRun> runs = new ArrayList<>();
    running.forEach((task, run) -> runs.add(new ListedRun(task, run.run(), "", 100, 1)));
    return new LookReply(
        OrderAnswer.DONE,
        Optional.of(new WorkerList(clock(), entry.bornMillis(), runs, ended)),
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
      end(task, run, RunEnd.DONE);
    }
  }

  private void end(final TaskId task, final Running run, final RunEnd how) {
    running.remove(task);
    highestEnded.merge(task, run.run(), Math::max);
    endCount++;
    ended.add(new ListedEnd(endCount, task, run.run(), how, ""));
    history.ended(task, run.run(), how == RunEnd.DONE, now());
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
          .forEach(run -> end(run.getKey(), run.getValue(), RunEnd.EXPIRED));
    }
  }

  private OrderReply reply(final OrderAnswer answer) {
    return new OrderReply(answer, clock(), answer.name());
  }

  private long clock() {
    return now() / NANOS_PER_MILLI;
  }

  private long now() {
    return time.nanos();
  }
}
