package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropReason;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunTracker;
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
  /** Longest wait in ms of a poll at a worker with active runs. */
  private static final long BUSY_WAIT_MILLIS = 700;

  /** Longest wait in ms of a poll at a worker without active runs. */
  private static final long IDLE_WAIT_MILLIS = 1_500;

  /** Delay in ms before the next poll after a failed one. */
  private static final long RETRY_DELAY_MILLIS = 200;

  /** Delay in ms between polls while finished runs wait to be persisted. */
  private static final long PERSISTING_DELAY_MILLIS = 300;

  private final ControlContext context;
  private final WorkerState worker;
  private final RunTracker runTracker;
  private final SessionCallbacks callbacks;
  private final WorkerCommands commands;
  private final RunMonitor monitor;
  private final WorkerTokens tokens;
  private final RunLeases leases;
  private boolean persisting;

  /** Sequence number of the last finished run whose effect has to be persisted. */
  private long lastToPersist;

  private boolean closed;
  private int pollCount;

  WorkerSession(
      final ControlContext context,
      final WorkerState worker,
      final RunTracker runTracker,
      final WorkerTokens tokens,
      final SessionCallbacks callbacks) {
    this.context = context;
    this.worker = worker;
    this.runTracker = runTracker;
    this.tokens = tokens;
    this.callbacks = callbacks;
    this.leases = new RunLeases(context, worker, callbacks);
    this.commands = new WorkerCommands(context, worker, runTracker, callbacks, leases, this);
    this.monitor = new RunMonitor(context, worker, runTracker, callbacks, commands);
  }

  /** Returns the fencing token of the commands that are sent now. */
  long token() {
    return tokens.current(worker.id());
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
    final long leaseExpiryMillis = leases.grant(sentAt);
    // A worker that did not respond may have started again since, see FinishedRuns.
    final long acknowledged =
        worker.isResponding() ? worker.finishedRuns().pendingAcknowledgement() : 0;
    final SentPoll poll =
        new SentPoll(pollNumber, sentAt, worker.entry().startTimeMillis(), token(), acknowledged);
    final long waitMillis =
        !clockKnown
                || persisting
                || worker.finishedRuns().lastReceived() > worker.finishedRuns().lastPersisted()
            ? 0
            : worker.runs().isEmpty() ? IDLE_WAIT_MILLIS : BUSY_WAIT_MILLIS;
    context
        .workers()
        .poll(
            worker.entry(),
            new PollRequest(leaseExpiryMillis, poll.token(), acknowledged, waitMillis))
        .whenCompleteAsync(
            logged((reply, failure) -> guarded(() -> handleReply(reply, poll))),
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
    if (worker.isResponding()) {
      return;
    }
    if (worker.runs().isEmpty() && leases.haveAllExpired(now)) {
      // Finished runs that it has not listed yet will not be read any more, or do not count.
      runTracker.workerLost(worker, SessionEvidence.leaseExpired(worker, now), now);
      return;
    }
    final List<TaskRun> expired =
        worker.runs().stream().filter(run -> leases.hasExpired(run, now)).toList();
    if (!expired.isEmpty()) {
      context.log().log("worker-lease-expired", "worker", worker.id(), "runs", expired.size());
      final DropEvidence evidence = SessionEvidence.leaseExpired(worker, now);
      runTracker.runsLost(expired, evidence, now);
      if (worker.runs().isEmpty()) {
        runTracker.workerLost(worker, evidence, now);
        callbacks.workerResolved(worker, evidence);
      }
      callbacks.stateChanged();
    }
  }

  /**
   * Discards the finished runs of an earlier incarnation of the worker, and polls the present one
   * with a raised token: only a report under this token shows what that one holds, because calls to
   * the earlier incarnation may have been executed after any report before it.
   */
  private void restart(final DropEvidence evidence, final long now) {
    runTracker.workerRestarted(worker, evidence, now);
    persisting = false;
    tokens.raise(worker.id());
    poll();
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
    if (!isCurrentIncarnation(report, poll.sentAt(), now) || !isCurrentIncarnation(poll.sentTo())) {
      return;
    }
    worker.finishedRuns().markAcknowledged(poll.acknowledged());
    if (!worker.isSynced()) {
      leases.recordLongestEarlierLease(report);
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
      callbacks.workerResolved(worker, SessionEvidence.reported(report, poll.sentAt()));
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
    monitor.check(now);
    if (worker.finishedRuns().lastReceived() > receivedBefore || !wasResponding) {
      callbacks.stateChanged();
    }
  }

  private boolean isCurrentIncarnation(
      final WorkerReport report, final long sentAt, final long now) {
    final long knownStartTime = worker.entry().startTimeMillis();
    if (report.startTimeMillis() == 0 || knownStartTime == report.startTimeMillis()) {
      return true;
    }
    if (report.startTimeMillis() < knownStartTime) {
      return false;
    }
    context.log().log("worker-reborn", "worker", worker.id(), "born", report.startTimeMillis());
    worker.restartedBeforeEntry(report.startTimeMillis());
    restart(
        SessionEvidence.restarted(DropReason.RESTART_REPORTED, worker, knownStartTime, sentAt),
        now);
    return false;
  }

  /** Returns whether a call was sent to the incarnation that is known now. */
  boolean isCurrentIncarnation(final long sentTo) {
    return sentTo == worker.entry().startTimeMillis();
  }

  /** Returns whether this leader has raised its token since it sent a call. */
  boolean isOutdated(final long sentToken) {
    return sentToken < token();
  }

  /**
   * Called when the registry shows a later start time of the worker.
   *
   * @param earlierStart start of the incarnation that was known, in ms since the Unix epoch
   */
  void workerRestarted(final long earlierStart) {
    final long now = context.time().nanos();
    restart(
        SessionEvidence.restarted(DropReason.RESTART_REGISTERED, worker, earlierStart, now), now);
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
      final DropEvidence evidence =
          new DropEvidence(DropReason.WORKER_GONE, "poll: " + reply.detail(), poll.sentAt());
      callbacks.workerGone(worker, evidence);
      callbacks.stateChanged();
    } else if (reply.result() == CommandResult.FENCED) {
      if (isOutdated(poll.token())) {
        return;
      }
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
