package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

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
 * Communicates with one worker: polls its status, renews the lease of its runs, acknowledges
 * finished runs and sends commands. Confined to the control thread.
 */
final class WorkerSession {
  /**
   * Lease in ms granted by each poll; longer than a change of leader takes, see docs/platform.md.
   */
  private static final long RUN_LEASE_MILLIS = 4_000;

  /** Longest wait in ms of a poll at a worker with active runs. */
  private static final long BUSY_WAIT_MILLIS = 700;

  /** Longest wait in ms of a poll at a worker without active runs. */
  private static final long IDLE_WAIT_MILLIS = 1_500;

  /** Delay in ms before the next poll after a failed one. */
  private static final long RETRY_DELAY_MILLIS = 200;

  /** Delay in ms between polls while finished runs wait to be persisted. */
  private static final long PERSISTING_DELAY_MILLIS = 300;

  /**
   * A poll in flight.
   *
   * @param number number of the poll in this session
   * @param sentAt monotonic time in ns at which it was sent
   * @param sentTo start of the incarnation that was known when it was sent, in ms since the Unix
   *     epoch
   * @param acknowledged sequence number of the last finished run that it acknowledges, 0 for none
   */
  private record SentPoll(int number, long sentAt, long sentTo, long acknowledged) {}

  private final ControlContext context;
  private final WorkerState worker;
  private final RunTracker runTracker;
  private final SessionCallbacks callbacks;
  private final WorkerCommands commands;
  private final LeaderItems items;
  private boolean persisting;

  /** Sequence number of the last finished run whose effect has to be persisted. */
  private long lastToPersist;

  private boolean closed;
  private int pollCount;

  /**
   * Monotonic time in ns of the last change. The initial value lies before any monotonic time and
   * does not overflow in differences.
   */
  private long cpuLimitChangedAt = Long.MIN_VALUE / 2;

  WorkerSession(
      final ControlContext context,
      final WorkerState worker,
      final RunTracker runTracker,
      final LeaderItems items,
      final SessionCallbacks callbacks) {
    this.context = context;
    this.worker = worker;
    this.runTracker = runTracker;
    this.items = items;
    this.callbacks = callbacks;
    this.commands = new WorkerCommands(context, worker, runTracker, callbacks, this);
  }

  /** Returns the fencing token of commands. */
  long token() {
    return items.token();
  }

  boolean isClosed() {
    return closed;
  }

  void close() {
    closed = true;
  }

  /** Sends a command, or queues it behind the ones in flight. */
  void send(final RunCommand command) {
    commands.send(command);
  }

  /** Polls the worker immediately, in addition to a poll that may be waiting there. */
  void poll() {
    if (closed) {
      return;
    }
    pollCount++;
    final int pollNumber = pollCount;
    final long sentAt = context.time().nanos();
    final boolean clockKnown = worker.clock().isKnown();
    long leaseExpiryMillis = 0;
    // A failed poll may have been executed, so a poll of an unresponsive worker must not extend the
    // lease: that would postpone the time at which its runs are known to have ended.
    if (clockKnown && worker.isResponding() && callbacks.isLeader()) {
      leaseExpiryMillis = worker.clock().estimate(sentAt) + leaseMillis();
      worker.leaseExpiry(leaseExpiryMillis);
    }
    // A worker that did not respond may have started again since, see FinishedRuns.
    final long acknowledged =
        worker.isResponding() ? worker.finishedRuns().pendingAcknowledgement() : 0;
    final long sentTo = worker.entry().startTimeMillis();
    final long waitMillis =
        !clockKnown
                || persisting
                || worker.finishedRuns().lastReceived() > worker.finishedRuns().lastPersisted()
            ? 0
            : worker.runs().isEmpty() ? IDLE_WAIT_MILLIS : BUSY_WAIT_MILLIS;
    context
        .workers()
        .poll(worker.entry(), new PollRequest(leaseExpiryMillis, token(), acknowledged, waitMillis))
        .whenCompleteAsync(
            logged(
                (reply, failure) ->
                    guarded(
                        () ->
                            handleReply(
                                reply, new SentPoll(pollNumber, sentAt, sentTo, acknowledged)))),
            context.executor());
  }

  /** Runs a callback; an exception from it is logged and does not end the session. */
  void guarded(final Runnable callback) {
    try {
      callback.run();
    } catch (final RuntimeException error) {
      context.log().log("session-failed", "worker", worker.id(), "reason", error.toString());
    }
  }

  /** Checks time-based conditions. */
  void tick(final long now) {
    if (!worker.isResponding()
        && worker.clock().isKnown()
        && !worker.runs().isEmpty()
        && worker.clock().lowerBound(now) > lastExpiry()) {
      context.log().log(
          "worker-lease-expired", "worker", worker.id(), "runs", worker.runs().size());
      runTracker.workerLost(worker, now);
      callbacks.workerResolved(worker);
      callbacks.stateChanged();
    }
  }

  /** Discards the finished runs of an earlier incarnation of the worker. */
  private void resetIncarnation(final long now) {
    runTracker.workerRestarted(worker, now);
    persisting = false;
  }

  private long leaseMillis() {
    return callbacks.isStoreUnreliable()
        ? context.bounds().maxLeaseMillis()
        : Math.min(RUN_LEASE_MILLIS, context.bounds().maxLeaseMillis());
  }

  private long lastExpiry() {
    long latest = worker.leaseExpiry();
    for (final TaskRun run : worker.runs()) {
      latest = Math.max(latest, run.startExpiry());
    }
    return latest;
  }

  private void handleReply(final PollReply reply, final SentPoll poll) {
    if (closed) {
      return;
    }
    final long now = context.time().nanos();
    if (reply.result() == CommandResult.DONE && reply.report().isPresent()) {
      applyReport(reply.report().get(), poll, now);
    } else {
      handleFailure(reply, poll);
    }
    if (poll.number() == pollCount) {
      schedulePoll(reply.result() == CommandResult.DONE);
    }
  }

  private void schedulePoll(final boolean succeeded) {
    final int pollNumber = pollCount;
    final long delayMillis =
        !succeeded ? RETRY_DELAY_MILLIS : persisting ? PERSISTING_DELAY_MILLIS : 0;
    if (delayMillis == 0) {
      poll();
    } else {
      context
          .executor()
          .schedule(
              () -> {
                if (pollNumber == pollCount) {
                  poll();
                }
              },
              delayMillis,
              TimeUnit.MILLISECONDS);
    }
  }

  private void applyReport(final WorkerReport report, final SentPoll poll, final long now) {
    if (!isCurrentIncarnation(report, now)) {
      return;
    }
    if (isCurrentIncarnation(poll.sentTo())) {
      worker.finishedRuns().markAcknowledged(poll.acknowledged());
    }
    if (!worker.isSynced()) {
      recordLongestEarlierLease(report);
    }
    final boolean wasResponding = worker.isResponding();
    final long receivedBefore = worker.finishedRuns().lastReceived();
    final boolean mustPersist =
        runTracker.applyReport(worker, report, poll.sentAt(), now, context.time().wallMillis());
    if (!wasResponding) {
      context.log().log(
          "worker-answers", "worker", worker.id(), "running", report.running().size());
    }
    if (report.complete()) {
      callbacks.workerResolved(worker);
    } else {
      callbacks.workerPartlyKnown(worker);
    }
    if (mustPersist) {
      persisting = true;
      final long lastReceived = worker.finishedRuns().lastReceived();
      lastToPersist = lastReceived;
      final long startTime = worker.entry().startTimeMillis();
      callbacks.whenPersisted(() -> runsPersisted(startTime, lastReceived));
    } else if (!persisting) {
      worker.finishedRuns().markPersisted(worker.finishedRuns().lastReceived());
    }
    checkRuns(now);
    if (worker.finishedRuns().lastReceived() > receivedBefore || !wasResponding) {
      callbacks.stateChanged();
    }
  }

  /**
   * Records the latest expiry that an earlier leader can have granted, before the first report of
   * an incarnation is applied. That leader may have renewed the lease for longer than this one
   * does, and a shorter renewal does not shorten it. Its fencing token is outdated from now on.
   */
  private void recordLongestEarlierLease(final WorkerReport report) {
    worker.leaseExpiry(report.clockMillis() + context.bounds().maxLeaseMillis());
  }

  /** Stops stuck runs and adjusts the CPU limits of best-effort runs. */
  private void checkRuns(final long now) {
    for (final TaskRun run : StuckRuns.find(worker, now)) {
      context.log().log("run-stuck", "task", run.task().id().text(), "worker", worker.id());
      runTracker.stop(run, "the run is stuck");
      callbacks.stateChanged();
    }
    for (final RunCommand.SetCpuLimit command :
        BestEffortThrottle.decide(worker, cpuLimitChangedAt, now)) {
      cpuLimitChangedAt = now;
      send(command);
    }
  }

  private boolean isCurrentIncarnation(final WorkerReport report, final long now) {
    final long knownStartTime = worker.entry().startTimeMillis();
    if (report.startTimeMillis() == 0 || knownStartTime == report.startTimeMillis()) {
      return true;
    }
    if (report.startTimeMillis() < knownStartTime) {
      return false;
    }
    context.log().log("worker-reborn", "worker", worker.id(), "born", report.startTimeMillis());
    worker.restartedBeforeEntry(report.startTimeMillis());
    resetIncarnation(now);
    return true;
  }

  /** Returns whether a call was sent to the incarnation that is known now. */
  boolean isCurrentIncarnation(final long sentTo) {
    return sentTo == worker.entry().startTimeMillis();
  }

  /** Called when the registry shows a later start time of the worker. */
  void workerRestarted() {
    resetIncarnation(context.time().nanos());
    poll();
    callbacks.stateChanged();
  }

  /**
   * Called when the effects of all finished runs of an incarnation up to a sequence number are
   * persisted. The numbers of another incarnation begin anew.
   */
  private void runsPersisted(final long startTime, final long sequence) {
    if (closed || !isCurrentIncarnation(startTime)) {
      return;
    }
    persisting = lastToPersist > sequence;
    worker
        .finishedRuns()
        .markPersisted(persisting ? sequence : worker.finishedRuns().lastReceived());
    if (!persisting) {
      poll();
    }
  }

  private void handleFailure(final PollReply reply, final SentPoll poll) {
    if (reply.result() == CommandResult.GONE && isCurrentIncarnation(poll.sentTo())) {
      context.log().log("worker-gone", "worker", worker.id(), "reason", reply.detail());
      callbacks.workerGone(worker);
      callbacks.stateChanged();
    } else if (reply.result() == CommandResult.FENCED) {
      callbacks.fenced();
    }
    callFailed(reply.detail());
  }

  /** Marks the worker as unresponsive after a failed call. */
  void callFailed(final String reason) {
    final boolean wasResponding = worker.isResponding();
    worker.contact().markUnresponsive(context.time().nanos());
    if (wasResponding) {
      context.log().log("worker-silent", "worker", worker.id(), "reason", reason);
    }
  }
}
