package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropReason;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunPhase;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.CommandReply;
import org.lentilsail.worker.CommandResult;
import org.lentilsail.worker.StartCommand;

/** Sends commands to one worker and processes the replies. Confined to the control thread. */
final class WorkerCommands {
  /** Delay in ms before an unconfirmed stop is retried. */
  private static final long STOP_RETRY_DELAY_MILLIS = 250;

  /** Time in ns for which a worker that has rejected a start gets no tasks. */
  private static final long REJECTED_START_PAUSE_NANOS = 120_000_000L;

  /**
   * Maximum number of commands in flight to one worker; with the poll they stay below its
   * connection limit.
   */
  private static final int MAX_IN_FLIGHT = 6;

  private final ControlContext context;
  private final WorkerState worker;
  private final RunTracker runTracker;
  private final SessionCallbacks callbacks;
  private final RunLeases leases;
  private final WorkerSession session;
  private final Deque<RunCommand> queue = new ArrayDeque<>();
  private int inFlight;

  WorkerCommands(
      final ControlContext context,
      final WorkerState worker,
      final RunTracker runTracker,
      final SessionCallbacks callbacks,
      final RunLeases leases,
      final WorkerSession session) {
    this.context = context;
    this.worker = worker;
    this.runTracker = runTracker;
    this.callbacks = callbacks;
    this.leases = leases;
    this.session = session;
  }

  /** Sends a command or queues it. Stops go before starts, because they free capacity. */
  void send(final RunCommand command) {
    if (command instanceof RunCommand.Stop) {
      queue.addFirst(command);
    } else {
      queue.addLast(command);
    }
    sendNext();
  }

  private void sendNext() {
    while (!session.isClosed() && inFlight < MAX_IN_FLIGHT && !queue.isEmpty()) {
      final RunCommand command = queue.poll();
      final long sentTo = worker.entry().startTimeMillis();
      final long token = session.token();
      final CompletableFuture<CommandReply> reply = dispatch(command);
      if (reply != null) {
        inFlight++;
        reply.whenCompleteAsync(
            logged(
                (received, failure) -> {
                  inFlight--;
                  if (!session.isClosed()) {
                    session.guarded(() -> handleReply(command, received, sentTo, token));
                    sendNext();
                  }
                }),
            context.executor());
      }
    }
  }

  /** Sends a command; returns null for one that is obsolete. */
  private CompletableFuture<CommandReply> dispatch(final RunCommand command) {
    final TaskRun run = command.run();
    if (command instanceof RunCommand.Start) {
      return start(run);
    }
    if (command instanceof RunCommand.SetCpuLimit setCpuLimit) {
      return context
          .workers()
          .setCpuLimit(
              worker.entry(),
              run.task().id(),
              run.number(),
              setCpuLimit.cpuLimitPercent(),
              session.token());
    }
    return context.workers().stop(worker.entry(), run.task().id(), run.number(), session.token());
  }

  private CompletableFuture<CommandReply> start(final TaskRun run) {
    final long now = context.time().nanos();
    if (!worker.runs().contains(run)) {
      // The run was abandoned while its command was queued; its task may have started elsewhere.
      return null;
    }
    final String obstacle = obstacle(run);
    if (!obstacle.isEmpty()) {
      runTracker.startRejected(
          run, new DropEvidence(DropReason.START_NOT_SENT, obstacle, now), now);
      callbacks.stateChanged();
      return null;
    }
    final long expiryMillis = leases.grantStart(run, now);
    final String text = run.task().step().job().submitted().spec().text();
    return context
        .workers()
        .start(
            worker.entry(),
            new StartCommand(
                run.task().id(),
                run.number(),
                text,
                expiryMillis,
                session.token(),
                run.task().checkpoint(),
                run.task().step().permits().validPermit(worker, now)));
  }

  /**
   * Returns why a start must not be sent, empty for no reason. One to a worker that has become
   * silent while it was queued would extend the lease of all runs there, and so postpone the time
   * at which they are known to have ended.
   */
  private String obstacle(final TaskRun run) {
    if (run.phase() == RunPhase.STOPPING) {
      return "being stopped";
    }
    if (!callbacks.isLeader() || !worker.clock().isKnown()) {
      return "no lease or clock";
    }
    return worker.isResponding() ? "" : "silent worker";
  }

  /**
   * Handles the reply to a command. The reply does not tell which incarnation of the worker sent
   * it, so one to a command that was sent before a restart became known shows neither the clock of
   * the present incarnation nor that this one has executed a stop.
   */
  private void handleReply(
      final RunCommand command, final CommandReply reply, final long sentTo, final long token) {
    final long now = context.time().nanos();
    final boolean restarted = !session.isCurrentIncarnation(sentTo);
    if (reply.clockMillis() >= 0 && reply.result() != CommandResult.GONE && !restarted) {
      worker.clock().recordReading(reply.clockMillis(), now);
    }
    if (reply.result() == CommandResult.FENCED && !session.isOutdated(token)) {
      callbacks.fenced();
    }
    if (command instanceof RunCommand.Start) {
      handleStartReply(command.run(), reply, restarted, now);
    } else if (command instanceof RunCommand.Stop) {
      handleStopReply(command, reply, restarted, now);
    } else if (reply.result() != CommandResult.DONE) {
      context.log().log("pace-failed", "worker", worker.id(), "answer", reply.result());
    }
  }

  private void handleStartReply(
      final TaskRun run, final CommandReply reply, final boolean restarted, final long now) {
    logStart(run, reply);
    final DropEvidence rejected = evidence(DropReason.START_REJECTED, run, reply);
    switch (reply.result()) {
      case DONE -> runTracker.startAccepted(run, now);
      case UNKNOWN -> {
        runTracker.startUnconfirmed(run, now);
        session.poll();
      }
      case GONE -> {
        if (restarted) {
          runTracker.startRejected(run, rejected, now);
        } else {
          final DropEvidence gone = evidence(DropReason.WORKER_GONE, run, reply);
          runTracker.workerLost(worker, gone, now);
          callbacks.workerGone(worker, gone);
        }
      }
      case NO_PERMIT -> {
        run.task().step().permits().discard(worker.id());
        runTracker.startRejected(run, rejected, now);
      }
      default -> {
        handleRejectedStart(reply.result(), now);
        runTracker.startRejected(run, rejected, now);
      }
    }
    callbacks.stateChanged();
  }

  /** Returns what the reply to a start shows; it was sent after the run was assigned. */
  private static DropEvidence evidence(
      final DropReason reason, final TaskRun run, final CommandReply reply) {
    final String seen = "start: " + reply.result() + ' ' + reply.detail();
    return new DropEvidence(reason, seen.strip(), run.createdAt());
  }

  private void handleRejectedStart(final CommandResult result, final long now) {
    if (result == CommandResult.NOT_SENT) {
      session.callFailed("a start could not be sent");
    } else {
      worker.suspendUntil(now + REJECTED_START_PAUSE_NANOS);
    }
  }

  private void logStart(final TaskRun run, final CommandReply reply) {
    context
        .metrics()
        .recordTaskStart(reply.result().name(), run.createdAt() - run.task().waitingSince());
    context.log().log(
        "task-start",
        "task",
        run.task().id().text(),
        "run",
        run.number(),
        "worker",
        worker.id(),
        "waitedMs",
        (run.createdAt() - run.task().waitingSince()) / 1_000_000,
        "answer",
        reply.result(),
        "detail",
        reply.detail());
  }

  private void handleStopReply(
      final RunCommand command, final CommandReply reply, final boolean restarted, final long now) {
    final TaskRun run = command.run();
    if (run.task().step() == null) {
      return;
    }
    final boolean executed =
        reply.result() == CommandResult.DONE
            || reply.result() == CommandResult.OUTDATED
            || reply.result() == CommandResult.INVALID;
    if (executed && !restarted) {
      runTracker.stopAccepted(run, now);
      session.poll();
    } else if (worker.runs().contains(run)) {
      context
          .executor()
          .schedule(
              () -> {
                if (!session.isClosed() && worker.runs().contains(run)) {
                  send(command);
                }
              },
              STOP_RETRY_DELAY_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }
}
