package org.lentilsail.standin.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.worker.CommandReply;
import org.lentilsail.worker.CommandResult;
import org.lentilsail.worker.PollReply;
import org.lentilsail.worker.PollRequest;
import org.lentilsail.worker.StartCommand;
import org.lentilsail.worker.WorkerClient;

/** Workers that run tasks on one executor thread, and the links between them and daemons. */
public final class SimulatedWorkers {
  /** Time in ms of a call and of its answer each. */
  private static final long WAY_MILLIS = 1;

  /** Time in ms after which an order without an answer is given up. */
  private static final long TIMEOUT_MILLIS = 700;

  private final TimeSource time;
  private final ScheduledExecutorService executor;
  private final ToLongFunction<TaskId> durations;
  private final RunHistory history = new RunHistory();
  private final Map<String, SimulatedWorker> workers = new HashMap<>();
  private final Set<String> cuts = new HashSet<>();
  private long lateStartMillis;

  /**
   * Creates no workers yet.
   *
   * @param time clock
   * @param executor runs everything
   * @param durations time in ms that a task takes, 0 for one that lasts
   */
  public SimulatedWorkers(
      final TimeSource time,
      final ScheduledExecutorService executor,
      final ToLongFunction<TaskId> durations) {
    this.time = time;
    this.executor = executor;
    this.durations = durations;
  }

  /**
   * Starts a worker.
   *
   * @param entry what it reports of itself
   */
  public void start(final WorkerEntry entry) {
    workers.put(entry.id(), new SimulatedWorker(entry, time, executor, history, durations));
  }

  /**
   * Ends a worker and everything on it.
   *
   * @param id id of the worker
   */
  public void crash(final String id) {
    workers.get(id).crash();
  }

  /**
   * Ends a worker by a failure of its own: work whose end nobody has acknowledged may run again.
   *
   * @param id id of the worker
   */
  public void fail(final String id) {
    workers.get(id).fail();
  }

  /**
   * Cuts the link between a daemon and a worker, or restores it.
   *
   * @param daemon id of the daemon
   * @param worker id of the worker
   * @param cut whether it is cut
   */
  public void cut(final String daemon, final String worker, final boolean cut) {
    if (cut) {
      cuts.add(daemon + '/' + worker);
    } else {
      cuts.remove(daemon + '/' + worker);
    }
  }

  /**
   * Leaves starts without an answer and carries them out late.
   *
   * @param millis delay in ms, 0 to carry them out at once and to answer
   */
  public void lateStarts(final long millis) {
    lateStartMillis = millis;
  }

  /**
   * Returns what the workers have run.
   *
   * @return the history
   */
  public RunHistory history() {
    return history;
  }

  /**
   * Counts the runs on a worker.
   *
   * @param id id of the worker
   * @return number of runs
   */
  public int runs(final String id) {
    return workers.get(id).runs();
  }

  /**
   * Returns the workers as one daemon sees them.
   *
   * @param daemon id of the daemon
   * @return the workers
   */
  public WorkerClient client(final String daemon) {
    return new Client(daemon);
  }

  /** The workers as one daemon sees them. */
  private final class Client implements WorkerClient {
    private final String daemon;

    Client(final String daemon) {
      this.daemon = daemon;
    }

    @Override
    public CompletableFuture<CommandReply> start(
        final WorkerEntry worker, final StartCommand order) {
      if (lateStartMillis > 0 && isReachable(worker)) {
        executor.schedule(
            () -> workers.get(worker.id()).start(order), lateStartMillis, TimeUnit.MILLISECONDS);
        return later(unanswered(), TIMEOUT_MILLIS);
      }
      return call(worker, target -> done(target.start(order)), unanswered());
    }

    @Override
    public CompletableFuture<CommandReply> stop(
        final WorkerEntry worker, final TaskId task, final int run, final long token) {
      return call(worker, target -> done(target.stop(task, run, token)), unanswered());
    }

    @Override
    public CompletableFuture<CommandReply> setCpuLimit(
        final WorkerEntry worker,
        final TaskId task,
        final int run,
        final int percent,
        final long token) {
      return done(new CommandReply(CommandResult.DONE, -1, ""));
    }

    @Override
    public CompletableFuture<PollReply> poll(final WorkerEntry worker, final PollRequest order) {
      return call(
          worker,
          target -> target.poll(order),
          new PollReply(CommandResult.UNKNOWN, Optional.empty(), "no answer"));
    }

    private <T> CompletableFuture<T> call(
        final WorkerEntry worker,
        final Function<SimulatedWorker, CompletableFuture<T>> action,
        final T noAnswer) {
      final CompletableFuture<T> answer = new CompletableFuture<>();
      executor.schedule(
          () -> {
            if (isReachable(worker)) {
              action
                  .apply(workers.get(worker.id()))
                  .thenAccept(
                      value ->
                          later(isReachable(worker) ? value : noAnswer, WAY_MILLIS)
                              .thenAccept(answer::complete));
            } else {
              later(noAnswer, TIMEOUT_MILLIS).thenAccept(answer::complete);
            }
          },
          WAY_MILLIS,
          TimeUnit.MILLISECONDS);
      return answer;
    }

    private boolean isReachable(final WorkerEntry worker) {
      final SimulatedWorker target = workers.get(worker.id());
      return target != null && target.isAlive() && !cuts.contains(daemon + '/' + worker.id());
    }

    private <T> CompletableFuture<T> later(final T value, final long millis) {
      final CompletableFuture<T> answer = new CompletableFuture<>();
      executor.schedule(() -> answer.complete(value), millis, TimeUnit.MILLISECONDS);
      return answer;
    }

    private static <T> CompletableFuture<T> done(final T value) {
      return CompletableFuture.completedFuture(value);
    }

    private static CommandReply unanswered() {
      return new CommandReply(CommandResult.UNKNOWN, -1, "no answer");
    }
  }
}
