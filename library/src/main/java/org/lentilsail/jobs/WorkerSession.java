package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.concurrent.TimeUnit;
import org.lentilsail.policy.job.BestEffortThrottle;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.StuckRuns;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.CommandResult;
import org.lentilsail.worker.PollReply;
import org.lentilsail.worker.PollRequest;

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

  private final ControlContext parts;
  private final WorkerState worker;
  private final RunTracker ledger;
  private final SessionCallbacks events;
  private final WorkerCommands orders;
  private final LeaderItems items;
  private boolean keeping;
  private boolean closed;
  private int looks;
  private long pacedAt = Long.MIN_VALUE / 2;

  WorkerSession(
      final ControlContext parts,
      final WorkerState worker,
      final RunTracker ledger,
      final LeaderItems items,
      final SessionCallbacks events) {
    this.parts = parts;
    this.worker = worker;
    this.ledger = ledger;
    this.items = items;
    this.events = events;
    this.orders = new WorkerCommands(parts, worker, ledger, events, this);
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
  void send(final RunCommand order) {
    orders.send(order);
  }

  /** Looks at the worker now, beside a look that may be waiting there. */
  void poll() {
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
    if (known && worker.isResponding() && events.isLeader()) {
      until = worker.clock().estimate(sentAt) + leaseMillis();
      worker.leaseExpiry(until);
    }
    final long wait =
        !known
                || keeping
                || worker.finishedRuns().lastReceived() > worker.finishedRuns().lastPersisted()
            ? 0
            : worker.runs().isEmpty() ? IDLE_WAIT_MILLIS : BUSY_WAIT_MILLIS;
    parts
        .workers()
        .poll(
            worker.entry(),
            new PollRequest(until, token(), worker.finishedRuns().lastPersisted(), wait))
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
    if (!worker.isResponding()
        && worker.clock().isKnown()
        && !worker.runs().isEmpty()
        && worker.clock().lowerBound(now) > lastExpiry()) {
      parts.log().log("worker-lease-expired", "worker", worker.id(), "runs", worker.runs().size());
      ledger.workerLost(worker, now);
      events.workerResolved(worker);
      events.stateChanged();
    }
  }

  /** Forgets the ends of an earlier life of the worker. */
  private void startAnew(final long now) {
    ledger.workerRestarted(worker, now);
    keeping = false;
  }

  private long leaseMillis() {
    return events.isStoreUnreliable()
        ? parts.bounds().maxLeaseMillis()
        : Math.min(LEASE_MILLIS, parts.bounds().maxLeaseMillis());
  }

  private long lastExpiry() {
    long last = worker.leaseExpiry();
    for (final TaskRun run : worker.runs()) {
      last = Math.max(last, run.startExpiry());
    }
    return last;
  }

  private void looked(final int turn, final PollReply reply, final long sentAt) {
    if (closed) {
      return;
    }
    final long now = parts.time().nanos();
    if (reply.result() == CommandResult.DONE && reply.report().isPresent()) {
      take(reply.report().get(), sentAt, now);
    } else {
      notLooked(reply, now);
    }
    if (turn == looks) {
      scheduleLook(reply.result() == CommandResult.DONE);
    }
  }

  private void scheduleLook(final boolean answered) {
    final int turn = looks;
    final long pause = !answered ? RETRY_MILLIS : keeping ? KEEPING_MILLIS : 0;
    if (pause == 0) {
      poll();
    } else {
      parts
          .executor()
          .schedule(
              () -> {
                if (turn == looks) {
                  poll();
                }
              },
              pause,
              TimeUnit.MILLISECONDS);
    }
  }

  private void take(final WorkerReport list, final long sentAt, final long now) {
    if (!isThisLife(list, now)) {
      return;
    }
    final boolean wasAnswering = worker.isResponding();
    final long endsBefore = worker.finishedRuns().lastReceived();
    final boolean mustKeep =
        ledger.applyReport(worker, list, sentAt, now, parts.time().wallMillis());
    if (!wasAnswering) {
      parts.log().log("worker-answers", "worker", worker.id(), "running", list.running().size());
    }
    events.workerResolved(worker);
    if (mustKeep) {
      keeping = true;
      final long seen = worker.finishedRuns().lastReceived();
      events.whenPersisted(() -> kept(seen));
    } else if (!keeping) {
      worker.finishedRuns().markPersisted(worker.finishedRuns().lastReceived());
    }
    check(now);
    if (worker.finishedRuns().lastReceived() > endsBefore || !wasAnswering) {
      events.stateChanged();
    }
  }

  /** Acts on runs that stand still or disturb others. */
  private void check(final long now) {
    for (final TaskRun run : StuckRuns.find(worker, now)) {
      parts.log().log("run-stuck", "task", run.task().id().text(), "worker", worker.id());
      ledger.stop(run, "it stands still");
      events.stateChanged();
    }
    for (final RunCommand.SetCpuLimit pace : BestEffortThrottle.decide(worker, pacedAt, now)) {
      pacedAt = now;
      send(pace);
    }
  }

  private boolean isThisLife(final WorkerReport list, final long now) {
    final long known = worker.entry().startTimeMillis();
    if (list.startTimeMillis() == 0 || known == list.startTimeMillis()) {
      return true;
    }
    if (list.startTimeMillis() < known) {
      return false;
    }
    parts.log().log("worker-reborn", "worker", worker.id(), "born", list.startTimeMillis());
    worker.entry(worker.entry().withStartTime(list.startTimeMillis()));
    startAnew(now);
    return true;
  }

  /** Hears that the registry shows a later start of the worker. */
  void workerRestarted() {
    startAnew(parts.time().nanos());
    poll();
    events.stateChanged();
  }

  private void kept(final long seen) {
    if (closed) {
      return;
    }
    worker.finishedRuns().markPersisted(seen);
    keeping = worker.finishedRuns().lastReceived() > worker.finishedRuns().lastPersisted();
    if (!keeping) {
      poll();
    }
  }

  private void notLooked(final PollReply reply, final long now) {
    if (reply.result() == CommandResult.GONE) {
      parts.log().log("worker-gone", "worker", worker.id(), "reason", reply.detail());
      ledger.workerLost(worker, now);
      events.workerResolved(worker);
      events.workerGone(worker);
      events.stateChanged();
    } else if (reply.result() == CommandResult.FENCED) {
      events.fenced();
    }
    callFailed(reply.detail());
  }

  /** Takes in that a call was not answered. */
  void callFailed(final String reason) {
    final boolean wasAnswering = worker.isResponding();
    worker.markUnresponsive(parts.time().nanos());
    if (wasAnswering) {
      parts.log().log("worker-silent", "worker", worker.id(), "reason", reason);
    }
  }
}
