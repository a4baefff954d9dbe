package org.lentilsail.jobs;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.lentilsail.ManualExecutor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.JobRun;
import org.lentilsail.policy.job.RecoveryGate;
import org.lentilsail.policy.job.RunNumbers;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.StepSpecBuilder;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.CommandReply;
import org.lentilsail.worker.CommandResult;
import org.lentilsail.worker.PollReply;
import org.lentilsail.worker.PollRequest;
import org.lentilsail.worker.StartCommand;
import org.lentilsail.worker.WorkerClient;

/** The session of one worker at a leader with a valid lease; the test replies for the worker. */
final class SessionFixture {
  final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  final RecordingWorkers workers = new RecordingWorkers();

  /** Actions that wait until all progress is persisted. */
  final List<Runnable> awaitingPersistence = new ArrayList<>();

  /** Number of replies that were reported as those of workers with a newer leader. */
  int fencedCalls;

  /** Number of times that the gate was told that the worker is only partly known. */
  int partlyKnown;

  final RunTracker runTracker;
  final WorkerState worker =
      new WorkerState(
          new WorkerEntry(
              "w1",
              "booking",
              InetSocketAddress.createUnresolved("10.0.0.1", 80),
              "north",
              false,
              new Resources(8_000, 8_000, 0),
              List.of(),
              1),
          0);
  final WorkerSession session;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final DecisionLog log =
      new DecisionLog(time, new PrintStream(out, true, StandardCharsets.UTF_8));
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final ManualExecutor executor = new ManualExecutor(time);
  private final JobRegistry jobs = new JobRegistry();

  SessionFixture() {
    final ControlContext context = context();
    runTracker =
        new RunTracker(jobs, new RunNumbers(1), new RunLog(context, jobs, new RecoveryGate()));
    session =
        new WorkerSession(
            context,
            worker,
            runTracker,
            new WorkerTokens(new LeaderItems(new Term(1, 1))),
            new LeaderCallbacks());
  }

  void close() {
    log.close();
  }

  /** Closes the log and returns its lines of an event. */
  List<String> closeAndReadLines(final String event) {
    log.close();
    return out.toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains(" event=" + event + ' '))
        .toList();
  }

  /** Returns the values of a counter by the value of its only label. */
  Map<String, Double> counts(final String name) {
    return registry.scrape(name::equals).stream()
        .flatMap(metric -> metric.getDataPoints().stream())
        .map(CounterDataPointSnapshot.class::cast)
        .collect(
            Collectors.toMap(
                point -> point.getLabels().getValue(0), CounterDataPointSnapshot::getValue));
  }

  /** Checks the time-based conditions of the session. */
  void tick() {
    session.tick(time.nanos());
  }

  /** Starts a run of a new job with one task. */
  TaskRun startedRun(final String job) {
    final StepSpec step = StepSpecBuilder.tasks(1).estimateMillis(300).build();
    final JobSpec spec = new JobSpec(job, "work", List.of(step), 0, 0, 0);
    final JobRun accepted =
        jobs.accept(new SubmittedJob("holds", "booking", 0, spec, null, ""), 0, time.nanos());
    worker.clock().recordReading(1_000, time.nanos());
    worker.contact().markResponding();
    return runTracker.start(accepted.steps().get(0).tasks().get(0), worker, 0, time.nanos());
  }

  /** Replies to the last poll, and lets the session send the next one. */
  void reply(final WorkerReport report) {
    reply(workers.lastReply, report);
  }

  /** Replies to a poll, and lets the session send the next one. */
  void reply(final CompletableFuture<PollReply> poll, final WorkerReport report) {
    poll.complete(new PollReply(CommandResult.DONE, Optional.of(report), ""));
    executor.advance(Duration.ofMillis(400));
  }

  /** Fails the last poll as a worker does that cannot be reached, and lets the session retry. */
  void failPoll(final CommandResult result) {
    failPoll(workers.lastReply, result);
  }

  /** Fails a poll, and lets the session retry. */
  void failPoll(final CompletableFuture<PollReply> poll, final CommandResult result) {
    poll.complete(new PollReply(result, Optional.empty(), "no reply"));
    executor.advance(Duration.ofMillis(400));
  }

  /** Moves the clock on and runs what is due. */
  void advance(final Duration duration) {
    executor.advance(duration);
  }

  /** Replies to the last command. */
  void replyToCommand(final CommandResult result, final long clockMillis) {
    workers.lastCommand.complete(new CommandReply(result, clockMillis, ""));
    executor.advance(Duration.ofMillis(300));
  }

  /** Shows the session a later start time of the worker, as the registry does. */
  void restartWorker(final long startTimeMillis) {
    final long earlierStart = worker.entry().startTimeMillis();
    worker.entry(worker.entry().withStartTime(startTimeMillis));
    session.workerRestarted(earlierStart);
  }

  private ControlContext context() {
    return new ControlContext(
        null,
        workers,
        null,
        null,
        null,
        executor,
        time,
        log,
        new JobMetrics(registry),
        new ControlBounds(6_000, 2_000, 1_500, 120_000, 3_000, 1_000));
  }

  /** Records commands and polls. */
  static final class RecordingWorkers implements WorkerClient {
    int starts;
    int stops;
    PollRequest lastPoll;
    CompletableFuture<CommandReply> lastCommand;
    CompletableFuture<PollReply> lastReply;

    @Override
    public CompletableFuture<CommandReply> start(
        final WorkerEntry target, final StartCommand command) {
      starts++;
      lastCommand = new CompletableFuture<>();
      return lastCommand;
    }

    @Override
    public CompletableFuture<CommandReply> stop(
        final WorkerEntry target, final TaskId task, final int run, final long token) {
      stops++;
      lastCommand = new CompletableFuture<>();
      return lastCommand;
    }

    @Override
    public CompletableFuture<CommandReply> setCpuLimit(
        final WorkerEntry target,
        final TaskId task,
        final int run,
        final int percent,
        final long token) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<PollReply> poll(final WorkerEntry target, final PollRequest request) {
      lastPoll = request;
      lastReply = new CompletableFuture<>();
      return lastReply;
    }
  }

  /** Callbacks of a leader with a valid lease. */
  private final class LeaderCallbacks implements SessionCallbacks {
    @Override
    public boolean isLeader() {
      return true;
    }

    @Override
    public boolean isStoreUnreliable() {
      return false;
    }

    @Override
    public long unconfirmedNanos() {
      return 0;
    }

    @Override
    public void fenced() {
      fencedCalls++;
    }

    @Override
    public void stateChanged() {}

    @Override
    public void workerResolved(final WorkerState worker, final DropEvidence evidence) {}

    @Override
    public void workerPartlyKnown(final WorkerState worker) {
      partlyKnown++;
    }

    @Override
    public void workerGone(final WorkerState worker, final DropEvidence evidence) {
      runTracker.workerLost(worker, evidence, time.nanos());
    }

    @Override
    public void whenPersisted(final Runnable action) {
      awaitingPersistence.add(action);
    }
  }
}
