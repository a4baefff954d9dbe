package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.ManualExecutor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.JobRun;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunNumbers;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.CommandReply;
import org.lentilsail.worker.PollReply;
import org.lentilsail.worker.PollRequest;
import org.lentilsail.worker.StartCommand;
import org.lentilsail.worker.WorkerClient;

/**
 * Guards against the start of a run that was abandoned while its command waited for the store or
 * behind other commands: its task may run elsewhere by then.
 */
class WorkerCommandsTest {
  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final CountingWorkers workers = new CountingWorkers();
  private final DecisionLog log =
      new DecisionLog(time, new PrintStream(OutputStream.nullOutputStream()));
  private final JobRegistry jobs = new JobRegistry();
  private final RunTracker runTracker = new RunTracker(jobs, new RunNumbers(1));
  private final WorkerState worker =
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
  private final WorkerSession session =
      new WorkerSession(
          context(), worker, runTracker, new LeaderItems(new Term(1, 1)), new LeaderCallbacks());

  @AfterEach
  void close() {
    log.close();
  }

  @Test
  void startsExpectedRun() {
    session.send(new RunCommand.Start(startedRun()));
    assertThat(workers.starts, is(1));
  }

  @Test
  void doesNotStartAbandonedRun() {
    final TaskRun run = startedRun();
    runTracker.workerLost(worker, time.nanos());
    session.send(new RunCommand.Start(run));
    assertThat(workers.starts, is(0));
  }

  private TaskRun startedRun() {
    final StepSpec step =
        new StepSpec(
            1,
            new Resources(1_000, 100, 0),
            300,
            List.of(),
            false,
            false,
            false,
            "",
            "",
            0,
            false,
            false,
            "",
            0,
            false,
            0);
    final JobSpec spec = new JobSpec("00000000000000a1", "work", List.of(step), 0, 0, 0);
    final JobRun job =
        jobs.accept(new SubmittedJob("holds", "booking", 0, spec, null), 0, time.nanos());
    worker.clock().recordReading(1_000, time.nanos());
    return runTracker.start(job.steps().get(0).tasks().get(0), worker, 0, time.nanos());
  }

  private ControlContext context() {
    return new ControlContext(
        null,
        workers,
        null,
        null,
        null,
        new ManualExecutor(time),
        time,
        log,
        new JobMetrics(new PrometheusRegistry()),
        new ControlBounds(6_000, 2_000, 1_500, 120_000, 3_000, 1_000));
  }

  /** Counts starts and never replies. */
  private static final class CountingWorkers implements WorkerClient {
    private int starts;

    @Override
    public CompletableFuture<CommandReply> start(
        final WorkerEntry target, final StartCommand command) {
      starts++;
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<CommandReply> stop(
        final WorkerEntry target, final TaskId task, final int run, final long token) {
      return new CompletableFuture<>();
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
      return new CompletableFuture<>();
    }
  }

  /** Callbacks of a leader with a valid lease. */
  private static final class LeaderCallbacks implements SessionCallbacks {
    @Override
    public boolean isLeader() {
      return true;
    }

    @Override
    public boolean isStoreUnreliable() {
      return false;
    }

    @Override
    public void fenced() {}

    @Override
    public void stateChanged() {}

    @Override
    public void workerResolved(final WorkerState worker) {}

    @Override
    public void workerGone(final WorkerState worker) {}

    @Override
    public void whenPersisted(final Runnable action) {}
  }
}
