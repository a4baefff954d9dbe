package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunPhase;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.CommandReply;
import org.lentilsail.worker.CommandResult;
import org.lentilsail.worker.StartCommand;

/** Sends orders to one worker and takes in its answers. Owned by the control thread. */
final class WorkerCommands {
  /** Time in ms until a start order expires; a start carried out later is rejected. */
  private static final long START_MILLIS = 1_500;

  /** Pause in ms after a stop that was not answered. */
  private static final long STOP_RETRY_MILLIS = 250;

  /** Time in ns without work for a worker that has just rejected a start. */
  private static final long NO_ROOM_NANOS = 120_000_000L;

  /** Orders on their way to one worker; with the look they stay below its connection limit. */
  private static final int MAX_ORDERS = 6;

  private final ControlContext parts;
  private final WorkerState worker;
  private final RunTracker ledger;
  private final SessionCallbacks events;
  private final WorkerSession session;
  private final Deque<RunCommand> orders = new ArrayDeque<>();
  private int ordersSent;

  WorkerCommands(
      final ControlContext parts,
      final WorkerState worker,
      final RunTracker ledger,
      final SessionCallbacks events,
      final WorkerSession session) {
    this.parts = parts;
    this.worker = worker;
    this.ledger = ledger;
    this.events = events;
    this.session = session;
  }

  /** Sends an order, or queues it; stops go before starts, because they make room. */
  void send(final RunCommand order) {
    if (order instanceof RunCommand.Stop) {
      orders.addFirst(order);
    } else {
      orders.addLast(order);
    }
    sendNext();
  }

  private void sendNext() {
    while (!session.isClosed() && ordersSent < MAX_ORDERS && !orders.isEmpty()) {
      final RunCommand order = orders.poll();
      final CompletableFuture<CommandReply> reply = dispatch(order);
      if (reply != null) {
        ordersSent++;
        reply.whenCompleteAsync(
            logged(
                (answer, failure) -> {
                  ordersSent--;
                  if (!session.isClosed()) {
                    session.guarded(() -> answered(order, answer));
                    sendNext();
                  }
                }),
            parts.executor());
      }
    }
  }

  /** Sends an order that still makes sense; returns null for one that does not. */
  private CompletableFuture<CommandReply> dispatch(final RunCommand order) {
    final TaskRun run = order.run();
    if (order instanceof RunCommand.Start) {
      return start(run);
    }
    if (order instanceof RunCommand.SetCpuLimit pace) {
      return parts
          .workers()
          .setCpuLimit(
              worker.entry(),
              run.task().id(),
              run.number(),
              pace.cpuLimitPercent(),
              session.token());
    }
    return parts.workers().stop(worker.entry(), run.task().id(), run.number(), session.token());
  }

  private CompletableFuture<CommandReply> start(final TaskRun run) {
    final long now = parts.time().nanos();
    if (!worker.runs().contains(run)) {
      // The run was given up while its order waited; its task may have started elsewhere.
      return null;
    }
    if (run.phase() == RunPhase.STOPPING || !events.isLeader() || !worker.clock().isKnown()) {
      ledger.startRejected(run, now);
      events.stateChanged();
      return null;
    }
    final long until = worker.clock().estimate(now) + START_MILLIS;
    run.startExpiry(until);
    final String text = run.task().step().job().submitted().spec().text();
    return parts
        .workers()
        .start(
            worker.entry(),
            new StartCommand(
                run.task().id(),
                run.number(),
                text,
                until,
                session.token(),
                run.task().checkpoint(),
                run.task().step().permits().validPermit(worker, now)));
  }

  private void answered(final RunCommand order, final CommandReply reply) {
    final long now = parts.time().nanos();
    if (reply.clockMillis() >= 0 && reply.result() != CommandResult.GONE) {
      worker.clock().recordReading(reply.clockMillis(), now);
    }
    if (reply.result() == CommandResult.FENCED) {
      events.fenced();
    }
    if (order instanceof RunCommand.Start) {
      started(order.run(), reply, now);
    } else if (order instanceof RunCommand.Stop) {
      stopped(order, reply, now);
    } else if (reply.result() != CommandResult.DONE) {
      parts.log().log("pace-failed", "worker", worker.id(), "answer", reply.result());
    }
  }

  private void started(final TaskRun run, final CommandReply reply, final long now) {
    logStart(run, reply);
    switch (reply.result()) {
      case DONE -> ledger.startAccepted(run, now);
      case UNKNOWN -> {
        ledger.startUnconfirmed(run, now);
        session.poll();
      }
      case GONE -> {
        ledger.workerLost(worker, now);
        events.workerGone(worker);
      }
      case NO_PERMIT -> {
        run.task().step().permits().discard(worker.id());
        ledger.startRejected(run, now);
      }
      default -> {
        refused(reply.result(), now);
        ledger.startRejected(run, now);
      }
    }
    events.stateChanged();
  }

  private void refused(final CommandResult answer, final long now) {
    if (answer == CommandResult.NOT_SENT) {
      session.callFailed("a start could not be sent");
    } else {
      worker.suspendUntil(now + NO_ROOM_NANOS);
    }
  }

  private void logStart(final TaskRun run, final CommandReply reply) {
    parts
        .metrics()
        .recordTaskStart(reply.result().name(), run.createdAt() - run.task().waitingSince());
    parts.log().log(
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

  private void stopped(final RunCommand order, final CommandReply reply, final long now) {
    final TaskRun run = order.run();
    if (run.task().step() == null) {
      return;
    }
    if (reply.result() == CommandResult.DONE
        || reply.result() == CommandResult.OUTDATED
        || reply.result() == CommandResult.INVALID) {
      ledger.stopAccepted(run, now);
      session.poll();
    } else if (worker.runs().contains(run)) {
      parts
          .executor()
          .schedule(
              () -> {
                if (!session.isClosed() && worker.runs().contains(run)) {
                  send(order);
                }
              },
              STOP_RETRY_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }
}
