package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.concurrent.TimeUnit;
import org.lentilsail.policy.job.Order;
import org.lentilsail.policy.job.Pacing;
import org.lentilsail.policy.job.RunLedger;
import org.lentilsail.policy.job.StuckRuns;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerList;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.LookOrder;
import org.lentilsail.worker.LookReply;
import org.lentilsail.worker.OrderAnswer;

/**
 * Talks to one worker: looks at its lists, renews the lease of its runs, acknowledges ends and
 * sends orders. Owned by the control thread.
 */
final class WorkerSession {
  /** Lease in ms from each look; longer than a change of the holder takes, see docs/platform.md. */
  private static final long LEASE_MILLIS = 4_000;

  /** Longest wait of a look at a worker with runs, in ms. */
  private static final long BUSY_WAIT_MILLIS = 700;

  /** Longest wait of a look at a worker without runs, in ms. */
  private static final long IDLE_WAIT_MILLIS = 1_500;

  /** Pause in ms after a look that was not answered. */
  private static final long RETRY_MILLIS = 200;

  /** Pause in ms between looks while ends wait to be kept. */
  private static final long KEEPING_MILLIS = 300;

  private final ControlParts parts;
  private final WorkerState worker;
  private final RunLedger ledger;
  private final SessionEvents events;
  private final WorkerOrders orders;
  private final HolderItems items;
  private boolean keeping;
  private boolean closed;
  private int looks;
  private long pacedAt = Long.MIN_VALUE / 2;

  WorkerSession(
      final ControlParts parts,
      final WorkerState worker,
      final RunLedger ledger,
      final HolderItems items,
      final SessionEvents events) {
    this.parts = parts;
    this.worker = worker;
    this.ledger = ledger;
    this.items = items;
    this.events = events;
    this.orders = new WorkerOrders(parts, worker, ledger, events, this);
  }

  /** Returns the fencing token of orders. */
  long token() {
    return items.token();
  }

  boolean isClosed() {
    return closed;
  }

  void close() {
    closed = true;
  }

  /** Sends an order, or queues it behind the ones on their way. */
  void send(final Order order) {
    orders.send(order);
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
        !known || keeping || worker.ends().seen() > worker.ends().kept()
            ? 0
            : worker.runs().isEmpty() ? IDLE_WAIT_MILLIS : BUSY_WAIT_MILLIS;
    parts
        .workers()
        .look(worker.entry(), new LookOrder(until, token(), worker.ends().kept(), wait))
        .whenCompleteAsync(
            logged((reply, failure) -> guarded(() -> looked(turn, reply, sentAt))),
            parts.executor());
  }

  /** Runs a callback; a fault in it is logged and does not end the session. */
  void guarded(final Runnable callback) {
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
    final long endsBefore = worker.ends().seen();
    final boolean mustKeep = ledger.listed(worker, list, sentAt, now, parts.time().wallMillis());
    if (!wasAnswering) {
      parts.log().log("worker-answers", "worker", worker.id(), "running", list.running().size());
    }
    events.resolved(worker);
    if (mustKeep) {
      keeping = true;
      final long seen = worker.ends().seen();
      events.whenKept(() -> kept(seen));
    } else if (!keeping) {
      worker.ends().keep(worker.ends().seen());
    }
    check(now);
    if (worker.ends().seen() > endsBefore || !wasAnswering) {
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
    worker.ends().keep(seen);
    keeping = worker.ends().seen() > worker.ends().kept();
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

  /** Takes in that a call was not answered. */
  void lost(final String reason) {
    final boolean wasAnswering = worker.isAnswering();
    worker.silent(parts.time().nanos());
    if (wasAnswering) {
      parts.log().log("worker-silent", "worker", worker.id(), "reason", reason);
    }
  }
}
