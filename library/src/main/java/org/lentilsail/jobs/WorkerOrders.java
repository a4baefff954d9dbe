package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.policy.job.Order;
import org.lentilsail.policy.job.RunLedger;
import org.lentilsail.policy.job.RunPhase;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.OrderAnswer;
import org.lentilsail.worker.OrderReply;
import org.lentilsail.worker.StartOrder;

/** Sends orders to one worker and takes in its answers. Owned by the control thread. */
final class WorkerOrders {
  /** Time in ms until a start order expires; a start carried out later is rejected. */
  private static final long START_MILLIS = 1_500;

  /** Pause in ms after a stop that was not answered. */
  private static final long STOP_RETRY_MILLIS = 250;

  /** Time in ns without work for a worker that has just rejected a start. */
  private static final long NO_ROOM_NANOS = 120_000_000L;

  /** Orders on their way to one worker; with the look they stay below its connection limit. */
  private static final int MAX_ORDERS = 6;

  private final ControlParts parts;
  private final WorkerState worker;
  private final RunLedger ledger;
  private final SessionEvents events;
  private final WorkerSession session;
  private final Deque<Order> orders = new ArrayDeque<>();
  private int ordersSent;

  WorkerOrders(
      final ControlParts parts,
      final WorkerState worker,
      final RunLedger ledger,
      final SessionEvents events,
      final WorkerSession session) {
    this.parts = parts;
    this.worker = worker;
    this.ledger = ledger;
    this.events = events;
    this.session = session;
  }

  /** Sends an order, or queues it; stops go before starts, because they make room. */
  void send(final Order order) {
    if (order instanceof Order.Stop) {
      orders.addFirst(order);
    } else {
      orders.addLast(order);
    }
    sendNext();
  }

  private void sendNext() {
    while (!session.isClosed() && ordersSent < MAX_ORDERS && !orders.isEmpty()) {
      final Order order = orders.poll();
      final CompletableFuture<OrderReply> reply = dispatch(order);
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
  private CompletableFuture<OrderReply> dispatch(final Order order) {
    final TaskRun run = order.run();
    if (order instanceof Order.Start) {
      return start(run);
    }
    if (order instanceof Order.Pace pace) {
      return parts
          .workers()
          .pace(worker.entry(), run.task().id(), run.number(), pace.percent(), session.token());
    }
    return parts.workers().stop(worker.entry(), run.task().id(), run.number(), session.token());
  }

  private CompletableFuture<OrderReply> start(final TaskRun run) {
    final long now = parts.time().nanos();
    if (!worker.runs().contains(run)) {
      // The run was given up while its order waited; its task may have started elsewhere.
      return null;
    }
    if (run.phase() == RunPhase.STOPPING || !events.isSure() || !worker.clock().isKnown()) {
      ledger.notStarted(run, now);
      events.changed();
      return null;
    }
    final long until = worker.clock().estimate(now) + START_MILLIS;
    run.startExpiry(until);
    final String text = run.task().step().job().submitted().spec().text();
    return parts
        .workers()
        .start(
            worker.entry(),
            new StartOrder(
                run.task().id(),
                run.number(),
                text,
                until,
                session.token(),
                run.task().checkpoint(),
                run.task().step().permits().valid(worker, now)));
  }

  private void answered(final Order order, final OrderReply reply) {
    final long now = parts.time().nanos();
    if (reply.clockMillis() >= 0 && reply.answer() != OrderAnswer.GONE) {
      worker.clock().read(reply.clockMillis(), now);
    }
    if (reply.answer() == OrderAnswer.FENCED) {
      events.fenced();
    }
    if (order instanceof Order.Start) {
      started(order.run(), reply, now);
    } else if (order instanceof Order.Stop) {
      stopped(order, reply, now);
    } else if (reply.answer() != OrderAnswer.DONE) {
      parts.log().log("pace-failed", "worker", worker.id(), "answer", reply.answer());
    }
  }

  private void started(final TaskRun run, final OrderReply reply, final long now) {
    logStart(run, reply);
    switch (reply.answer()) {
      case DONE -> ledger.started(run, now);
      case UNKNOWN -> {
        ledger.startUnanswered(run, now);
        session.look();
      }
      case GONE -> {
        ledger.lost(worker, now);
        events.gone(worker);
      }
      case NO_PERMIT -> {
        run.task().step().permits().rejected(worker.id());
        ledger.notStarted(run, now);
      }
      default -> {
        refused(reply.answer(), now);
        ledger.notStarted(run, now);
      }
    }
    events.changed();
  }

  private void refused(final OrderAnswer answer, final long now) {
    if (answer == OrderAnswer.NOT_SENT) {
      session.lost("a start could not be sent");
    } else {
      worker.noRoom(now + NO_ROOM_NANOS);
    }
  }

  private void logStart(final TaskRun run, final OrderReply reply) {
    parts.metrics().start(reply.answer().name(), run.createdAt() - run.task().waitingSince());
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
        reply.answer(),
        "detail",
        reply.detail());
  }

  private void stopped(final Order order, final OrderReply reply, final long now) {
    final TaskRun run = order.run();
    if (run.task().step() == null) {
      return;
    }
    if (reply.answer() == OrderAnswer.DONE
        || reply.answer() == OrderAnswer.OUTDATED
        || reply.answer() == OrderAnswer.INVALID) {
      ledger.stopAnswered(run, now);
      session.look();
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
