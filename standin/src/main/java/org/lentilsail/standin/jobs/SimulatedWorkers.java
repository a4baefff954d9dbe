package org.lentilsail.standin.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
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

/** Simulates workers on one executor thread, and the links between them and the daemons. */
public final class SimulatedWorkers {
  /** Network delay in ms of a command, and again of its reply. */
  private static final long NETWORK_DELAY_MILLIS = 1;

  /** Time in ms after which a command without a reply fails. */
  private static final long TIMEOUT_MILLIS = 700;

  /** Longest lease in ms that a worker grants, as in the users' deployments. */
  private static final long MAX_LEASE_MILLIS = 6_000;

  private final TimeSource time;
  private final ScheduledExecutorService executor;
  private final ToLongFunction<TaskId> durations;
  private final RunHistory history = new RunHistory();
  private final Map<String, SimulatedWorker> workers = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private long lateStartMillis;
  private final List<Runnable> heldPolls = new ArrayList<>();
  private Predicate<PollRequest> heldPoll = request -> false;
  private int listLimit = Integer.MAX_VALUE;
  private WorkerLeaseTerms leaseTerms = new WorkerLeaseTerms(MAX_LEASE_MILLIS, 1);
  private String unusable = "";
  private Predicate<TaskId> failing = task -> false;

  /**
   * Creates an empty set of workers.
   *
   * @param time clock of the workers
   * @param executor executor that runs all tasks and commands
   * @param durations run time in ms of each task, 0 for a long-running task
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
   * @param entry description that the worker reports of itself
   */
  public void start(final WorkerEntry entry) {
    workers.put(
        entry.id(),
        new SimulatedWorker(
            entry,
            time,
            executor,
            history,
            durations,
            task -> failing.test(task),
            () -> listLimit,
            leaseTerms));
  }

  /**
   * Stops a worker and all runs on it. Its finished tasks must not run again, even if their outcome
   * has not been acknowledged.
   *
   * @param id id of the worker
   */
  public void crash(final String id) {
    workers.get(id).crash();
  }

  /**
   * Stops a worker and all runs on it as a failure of the worker itself would: outcomes of finished
   * runs that have not been acknowledged are lost, and their tasks may run again.
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
   * @param cut whether the link is cut
   */
  public void cut(final String daemon, final String worker, final boolean cut) {
    if (cut) {
      cutLinks.add(daemon + '/' + worker);
    } else {
      cutLinks.remove(daemon + '/' + worker);
    }
  }

  /**
   * Executes start commands late, by the incarnation that the worker has then, and leaves them
   * without a reply.
   *
   * @param millis delay in ms, 0 to execute them at once and to reply
   */
  public void delayStarts(final long millis) {
    lateStartMillis = millis;
  }

  /**
   * Holds the next poll of a kind in the network and leaves it without a reply.
   *
   * @param kind the kind
   */
  public void holdPoll(final Predicate<PollRequest> kind) {
    heldPoll = kind;
  }

  /**
   * Returns whether a poll is held.
   *
   * @return whether a poll of the kind has been sent and not been delivered
   */
  public boolean isPollHeld() {
    return !heldPolls.isEmpty();
  }

  /** Delivers the held poll to the incarnation that the worker has now, over any cut. */
  public void deliverHeldPoll() {
    heldPolls.forEach(Runnable::run);
    heldPolls.clear();
  }

  /**
   * Limits the finished runs that a report lists; the next ones follow once these are acknowledged.
   *
   * @param runs number of finished runs
   */
  public void limitListedRuns(final int runs) {
    listLimit = runs;
  }

  /**
   * Sets the rate of the clocks of workers that start from now on.
   *
   * @param rate rate relative to real time; the platform allows 0.98 to 1
   */
  public void clockRate(final double rate) {
    leaseTerms = new WorkerLeaseTerms(MAX_LEASE_MILLIS, rate);
  }

  /**
   * Lets each poll of a worker throw, as a client does that cannot use its address.
   *
   * @param id id of the worker
   */
  public void makeUnusable(final String id) {
    unusable = id;
  }

  /**
   * Sets which runs end as failed.
   *
   * @param failingTasks asked at the end of each run with its task
   */
  public void failWhen(final Predicate<TaskId> failingTasks) {
    failing = failingTasks;
  }

  /**
   * Returns the history of all runs.
   *
   * @return the history
   */
  public RunHistory history() {
    return history;
  }

  /**
   * Counts the active runs on a worker.
   *
   * @param id id of the worker
   * @return number of runs
   */
  public int runs(final String id) {
    return workers.get(id).runs();
  }

  /** Returns the tasks with an active run on a worker. */
  Set<TaskId> tasks(final String id) {
    return workers.get(id).tasks();
  }

  /**
   * Returns whether a worker is running.
   *
   * @param id id of the worker
   * @return false after its end
   */
  public boolean isAlive(final String id) {
    return workers.get(id).isAlive();
  }

  /**
   * Returns the workers as seen by one daemon.
   *
   * @param daemon id of the daemon
   * @return client of the workers that the daemon can reach
   */
  public WorkerClient client(final String daemon) {
    return new Client(daemon);
  }

  /** Sends commands over the links of one daemon. */
  private final class Client implements WorkerClient {
    private final String daemon;

    Client(final String daemon) {
      this.daemon = daemon;
    }

    @Override
    public CompletableFuture<CommandReply> start(
        final WorkerEntry worker, final StartCommand command) {
      if (lateStartMillis > 0 && isReachable(worker)) {
        executor.schedule(
            () -> ifAlive(worker.id(), target -> target.start(command)),
            lateStartMillis,
            TimeUnit.MILLISECONDS);
        return delayed(Replies.failed(CommandResult.UNKNOWN), TIMEOUT_MILLIS);
      }
      return call(
          worker,
          target -> CompletableFuture.completedFuture(target.start(command)),
          Replies::failed);
    }

    @Override
    public CompletableFuture<CommandReply> stop(
        final WorkerEntry worker, final TaskId task, final int run, final long token) {
      return call(
          worker,
          target -> CompletableFuture.completedFuture(target.stop(task, run, token)),
          Replies::failed);
    }

    @Override
    public CompletableFuture<CommandReply> setCpuLimit(
        final WorkerEntry worker,
        final TaskId task,
        final int run,
        final int percent,
        final long token) {
      return CompletableFuture.completedFuture(new CommandReply(CommandResult.DONE, -1, ""));
    }

    @Override
    public CompletableFuture<PollReply> poll(final WorkerEntry worker, final PollRequest request) {
      if (worker.id().equals(unusable)) {
        throw new IllegalArgumentException("the address of " + worker.id() + " cannot be used");
      }
      if (heldPoll.test(request) && isReachable(worker)) {
        heldPoll = other -> false;
        heldPolls.add(() -> ifAlive(worker.id(), target -> target.poll(request)));
        return delayed(
            new PollReply(CommandResult.UNKNOWN, Optional.empty(), "no reply"), TIMEOUT_MILLIS);
      }
      return call(
          worker,
          target -> target.poll(request),
          result -> new PollReply(result, Optional.empty(), "no reply"));
    }

    private void ifAlive(final String id, final Consumer<SimulatedWorker> action) {
      final SimulatedWorker target = workers.get(id);
      if (target.isAlive()) {
        action.accept(target);
      }
    }

    private <T> CompletableFuture<T> call(
        final WorkerEntry worker,
        final Function<SimulatedWorker, CompletableFuture<T>> action,
        final Function<CommandResult, T> failure) {
      final CompletableFuture<T> reply = new CompletableFuture<>();
      final T fallback = failure.apply(CommandResult.UNKNOWN);
      executor.schedule(
          () -> {
            if (!isAtAddress(worker)) {
              delayed(failure.apply(CommandResult.GONE), NETWORK_DELAY_MILLIS)
                  .thenAccept(reply::complete);
            } else if (isReachable(worker)) {
              final SimulatedWorker target = workers.get(worker.id());
              action
                  .apply(target)
                  .thenAccept(
                      value -> {
                        final boolean received = target.isAlive() && isReachable(worker);
                        delayed(received ? value : fallback, NETWORK_DELAY_MILLIS)
                            .thenAccept(reply::complete);
                      });
            } else {
              delayed(fallback, TIMEOUT_MILLIS).thenAccept(reply::complete);
            }
          },
          NETWORK_DELAY_MILLIS,
          TimeUnit.MILLISECONDS);
      return reply;
    }

    /** Returns false for the address of an earlier incarnation, which another worker has taken. */
    private boolean isAtAddress(final WorkerEntry worker) {
      final SimulatedWorker target = workers.get(worker.id());
      return target == null || target.entry().address().equals(worker.address());
    }

    private boolean isReachable(final WorkerEntry worker) {
      final SimulatedWorker target = workers.get(worker.id());
      return target != null && target.isAlive() && !cutLinks.contains(daemon + '/' + worker.id());
    }

    private <T> CompletableFuture<T> delayed(final T value, final long millis) {
      return Replies.delayed(executor, value, millis);
    }
  }
}
