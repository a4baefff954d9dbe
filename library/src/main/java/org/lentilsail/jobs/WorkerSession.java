package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.policy.job.Order;
import org.lentilsail.policy.job.Pacing;
import org.lentilsail.policy.job.RunLedger;
import org.lentilsail.policy.job.RunPhase;
import org.lentilsail.policy.job.StuckRuns;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerList;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.LookOrder;
import org.lentilsail.worker.LookReply;
import org.lentilsail.worker.OrderAnswer;
import org.lentilsail.worker.OrderReply;
import org.lentilsail.worker.StartOrder;

/**
 * Talks to one worker: looks at its lists, renews the lease of its runs, acknowledges ends and
 * sends orders. Owned by the control thread.
 */
final class WorkerSession {
  /** Lease in ms from each look; longer than a change of the holder takes, see docs/platform.md. */
  private static final long LEASE_MILLIS = 4_000;

  /** Time in ms until a start order expires; a start carried out later is rejected. */
  private static final long START_MILLIS = 1_500;

  /** Longest wait of a look at a worker with runs, in ms. */
  private static final long BUSY_WAIT_MILLIS = 700;

  /** Longest wait of a look at a worker without runs, in ms. */
  private static final long IDLE_WAIT_MILLIS = 1_500;

  /** Pause in ms after a look that was not answered. */
  private static final long RETRY_MILLIS = 200;

  /** Pause in ms between looks while ends wait to be kept. */
  private static final long KEEPING_MILLIS = 300;

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
  private final Deque<Order> orders = new ArrayDeque<>();
  private long token;
  private long endsKept;
  private boolean keeping;
  private boolean closed;
  private int looks;
  private int ordersSent;
  private long pacedAt = Long.MIN_VALUE / 2;

  /** What the control loop does for its sessions. */
  interface SessionEvents {
    /** Tells whether this daemon surely holds control. */
    boolean isSure();

    /** Tells whether leases should be as long as possible, because renewals may fail soon. */
    boolean isStoreDoubtful();

    /** Hears that a worker has seen a newer token. */
    void fenced();

    /** Hears that state has changed and work may be placed. */
    void changed();

    /** Hears that the runs of the worker are known or have surely ended. */
    void resolved(WorkerState worker);

    /** Hears that the worker has ended. */
    void gone(WorkerState worker);

    /** Runs an action when all progress until now is kept. */
    void whenKept(Runnable action);
  }

  WorkerSession(
      final ControlParts parts,
      final WorkerState worker,
      final RunLedger ledger,
      final long token,
      final SessionEvents events) {
    this.parts = parts;
    this.worker = worker;
    this.ledger = ledger;
    this.token = token;
    this.events = events;
  }

  WorkerState worker() {
    return worker;
  }

  void token(final long present) {
    token = present;
  }

  void close() {
    closed = true;
  }

  /** Sends an order, or queues it behind the ones on their way. */
  void send(final Order order) {
    if (order instanceof Order.Stop) {
      orders.addFirst(order);
    } else {
      orders.addLast(order);
    }
    sendNext();
  }

  /** Looks at the worker now, beside a look that may be waiting there. */
  void look() {
    if (closed) {
      return;
    }
    looks++;
    final int turn = looks;
    final long sentAt = parts.time().nanos();
    final boolean known = worker.clock().isKnown();
    long until = 0;
    // A look without an answer may have been carried out, so it must not put off the time at which
    // the runs of a silent worker have surely ended.
    if (known && worker.isAnswering() && events.isSure()) {
      until = worker.clock().estimate(sentAt) + leaseMillis();
      worker.leaseUntil(until);
    }
    final long wait =
        !known || keeping || worker.endsSeen() > endsKept
            ? 0
            : worker.runs().isEmpty() ? IDLE_WAIT_MILLIS : BUSY_WAIT_MILLIS;
    parts
        .workers()
        .look(worker.entry(), new LookOrder(until, token, endsKept, wait))
        .whenCompleteAsync(
            logged((reply, failure) -> guarded(() -> looked(turn, reply, sentAt))),
            parts.executor());
  }

  /** Runs a callback; a fault in it is logged and does not end the session. */
  private void guarded(final Runnable callback) {
    try {
      callback.run();
    } catch (final RuntimeException error) {
      parts.log().log("session-failed", "worker", worker.id(), "reason", error.toString());
    }
  }

  /** Checks what time alone can change. */
  void tick(final long now) {
    if (!worker.isAnswering()
        && worker.clock().isKnown()
        && !worker.runs().isEmpty()
        && worker.clock().atLeast(now) > lastExpiry()) {
      parts.log().log("worker-lease-expired", "worker", worker.id(), "runs", worker.runs().size());
      ledger.lost(worker, now);
      events.resolved(worker);
      events.changed();
    }
  }

  /** Forgets the ends of an earlier life of the worker. */
  private void startAnew(final long now) {
    ledger.startedAnew(worker, now);
    endsKept = 0;
    keeping = false;
  }

  private long leaseMillis() {
    return events.isStoreDoubtful()
        ? parts.bounds().maxLeaseMillis()
        : Math.min(LEASE_MILLIS, parts.bounds().maxLeaseMillis());
  }

  private long lastExpiry() {
    long last = worker.leaseUntil();
    for (final TaskRun run : worker.runs()) {
      last = Math.max(last, run.startExpiry());
    }
    return last;
  }

  private void looked(final int turn, final LookReply reply, final long sentAt) {
    if (closed) {
      return;
    }
    final long now = parts.time().nanos();
    if (reply.answer() == OrderAnswer.DONE && reply.list().isPresent()) {
      take(reply.list().get(), sentAt, now);
    } else {
      notLooked(reply, now);
    }
    if (turn == looks) {
      scheduleLook(reply.answer() == OrderAnswer.DONE);
    }
  }

  private void scheduleLook(final boolean answered) {
    final int turn = looks;
    final long pause = !answered ? RETRY_MILLIS : keeping ? KEEPING_MILLIS : 0;
    if (pause == 0) {
      look();
    } else {
      parts
          .executor()
          .schedule(
              () -> {
                if (turn == looks) {
                  look();
                }
              },
              pause,
              TimeUnit.MILLISECONDS);
    }
  }

  private void take(final WorkerList list, final long sentAt, final long now) {
    if (!isThisLife(list, now)) {
      return;
    }
    final boolean wasAnswering = worker.isAnswering();
    final long endsBefore = worker.endsSeen();
    final boolean mustKeep = ledger.listed(worker, list, sentAt, now, parts.time().wallMillis());
    if (!wasAnswering) {
      parts.log().log("worker-answers", "worker", worker.id(), "running", list.running().size());
    }
    events.resolved(worker);
    if (mustKeep) {
      keeping = true;
      final long seen = worker.endsSeen();
      events.whenKept(() -> kept(seen));
    } else if (!keeping) {
      endsKept = worker.endsSeen();
    }
    check(now);
    if (worker.endsSeen() > endsBefore || !wasAnswering) {
      events.changed();
    }
  }

  /** Acts on runs that stand still or disturb others. */
  private void check(final long now) {
    for (final TaskRun run : StuckRuns.find(worker, now)) {
      parts.log().log("run-stuck", "task", run.task().id().text(), "worker", worker.id());
      ledger.stop(run, "it stands still");
      events.changed();
    }
    for (final Order.Pace pace : Pacing.decide(worker, pacedAt, now)) {
      pacedAt = now;
      send(pace);
    }
  }

  private boolean isThisLife(final WorkerList list, final long now) {
    final long known = worker.entry().bornMillis();
    if (list.bornMillis() == 0 || known == list.bornMillis()) {
      return true;
    }
    if (list.bornMillis() < known) {
      return false;
    }
    parts.log().log("worker-reborn", "worker", worker.id(), "born", list.bornMillis());
    worker.entry(worker.entry().bornAt(list.bornMillis()));
    startAnew(now);
    return true;
  }

  /** Hears that the registry shows a later start of the worker. */
  void reborn() {
    startAnew(parts.time().nanos());
    look();
    events.changed();
  }

  private void kept(final long seen) {
    if (closed) {
      return;
    }
    endsKept = Math.max(endsKept, seen);
    keeping = worker.endsSeen() > endsKept;
    if (!keeping) {
      look();
    }
  }

  private void notLooked(final LookReply reply, final long now) {
    if (reply.answer() == OrderAnswer.GONE) {
      parts.log().log("worker-gone", "worker", worker.id(), "reason", reply.detail());
      ledger.lost(worker, now);
      events.resolved(worker);
      events.gone(worker);
      events.changed();
    } else if (reply.answer() == OrderAnswer.FENCED) {
      events.fenced();
    }
    lost(reply.detail());
  }

  private void lost(final String reason) {
    final boolean wasAnswering = worker.isAnswering();
    worker.silent(parts.time().nanos());
    if (wasAnswering) {
      parts.log().log("worker-silent", "worker", worker.id(), "reason", reason);
    }
  }

  private void sendNext() {
    while (!closed && ordersSent < MAX_ORDERS && !orders.isEmpty()) {
      final Order order = orders.poll();
      final CompletableFuture<OrderReply> reply = dispatch(order);
      if (reply != null) {
        ordersSent++;
        reply.whenCompleteAsync(
            logged(
                (answer, failure) -> {
                  ordersSent--;
                  if (!closed) {
                    guarded(() -> answered(order, answer));
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
          .pace(worker.entry(), run.task().id(), run.number(), pace.percent(), token);
    }
    return parts.workers().stop(worker.entry(), run.task().id(), run.number(), token);
  }

  private CompletableFuture<OrderReply> start(final TaskRun run) {
    final long now = parts.time().nanos();
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
                run.task().id(), run.number(), text, until, token, run.task().checkpoint(), ""));
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
        look();
      }
      case GONE -> {
        ledger.lost(worker, now);
        events.gone(worker);
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
      lost("a start could not be sent");
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
      look();
    } else if (worker.runs().contains(run)) {
      parts
          .executor()
          .schedule(
              () -> {
                if (!closed && worker.runs().contains(run)) {
                  send(order);
                }
              },
              STOP_RETRY_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }
}
