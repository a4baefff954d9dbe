package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.ManualExecutor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropReason;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunNumbers;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.StepSpecBuilder;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;

/** Guards the placements of a worker that was removed and is admitted again by the same leader. */
class PlacementWriterTest {
  private static final String JOB = "00000000000000a1";

  private static final String KEY = "at/w1";

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final List<Transaction> transactions = new ArrayList<>();
  private final List<CompletableFuture<TransactionResult>> results = new ArrayList<>();
  private final List<String> removed = new ArrayList<>();
  private final JobRegistry jobs = new JobRegistry();
  private final Fleet fleet = new Fleet();
  private final RunTracker runTracker = new RunTracker(jobs, new RunNumbers(1));
  private final PlacementWriter placements =
      new PlacementWriter(
          context(),
          fleet,
          runTracker,
          new LeaderItems(new Term(1, 1)),
          command -> {},
          removed::add,
          () -> {},
          () -> {});
  private WorkerState worker;

  @BeforeEach
  void start() {
    final JobSpec spec =
        new JobSpec(JOB, "work", List.of(StepSpecBuilder.tasks(3).build()), 0, 0, 0);
    jobs.accept(new SubmittedJob("holds", "booking", 0, spec, null, ""), 0, time.nanos());
    worker = admit();
    startTask(0);
  }

  /**
   * Guards against a placement that is missing: starts that waited for the removed worker replaced
   * the item that lists the tasks of its readmission.
   */
  @Test
  void startsOfRemovedWorkerDoNotReplaceThoseOfItsReadmission() {
    startTask(1);
    runTracker.workerLost(
        worker, new DropEvidence(DropReason.LEASE_EXPIRED, "", time.nanos()), time.nanos());
    worker = admit();
    startTask(2);
    applied(0);
    assertThat(transactions, hasSize(2));
    assertThat(transactions.get(1).writes(), hasSize(1));
    assertThat(written(1), containsString(JOB + ".0.0.2"));
    assertThat(written(1), not(containsString(JOB + ".0.0.1")));
  }

  /** Guards against a placement that is removed while its worker has runs again. */
  @Test
  void placementOfReadmittedWorkerIsNotRemoved() {
    applied(0);
    fleet.remove("w1");
    placements.workerRemoved("w1");
    worker = admit();
    placements.tick(time.nanos());
    assertThat(transactions, hasSize(1));
    assertThat(removed, is(empty()));
  }

  /**
   * Guards against a worker that leaves the roster while its placement is in the store: the write
   * was not confirmed, so the leader does not know of the item.
   */
  @Test
  void placementOfUnconfirmedWriteIsRemovedBeforeItsWorkerLeaves() {
    results.get(0).completeExceptionally(new IllegalStateException("no response"));
    executor.advance(Duration.ofMillis(100));
    fleet.remove("w1");
    placements.workerRemoved("w1");
    assertThat(removed, is(empty()));
    placements.tick(time.nanos());
    assertThat(transactions.get(1).removals(), contains(KEY));
    applied(1);
    assertThat(removed, contains("w1"));
  }

  private WorkerState admit() {
    final WorkerEntry entry =
        new WorkerEntry(
            "w1",
            "booking",
            InetSocketAddress.createUnresolved("10.0.0.1", 80),
            "north",
            false,
            new Resources(8_000, 8_000, 0),
            List.of(),
            1);
    final WorkerState admitted = new WorkerState(entry, time.nanos());
    fleet.add(admitted);
    return admitted;
  }

  private void startTask(final int index) {
    final TaskRun run =
        runTracker.start(jobs.job(JOB).steps().get(0).tasks().get(index), worker, 0, time.nanos());
    placements.start(List.of(new RunCommand.Start(run)));
    executor.advance(Duration.ofMillis(20));
  }

  private void applied(final int transaction) {
    results.get(transaction).complete(new TransactionResult(true, 10 + transaction, List.of()));
    executor.advance(Duration.ofMillis(20));
  }

  private String written(final int transaction) {
    return new String(
        transactions.get(transaction).writes().get(0).value(), StandardCharsets.UTF_8);
  }

  private ControlContext context() {
    final KeyValueStore store =
        (KeyValueStore)
            Proxy.newProxyInstance(
                KeyValueStore.class.getClassLoader(),
                new Class<?>[] {KeyValueStore.class},
                (proxy, method, arguments) -> {
                  transactions.add((Transaction) arguments[0]);
                  results.add(new CompletableFuture<>());
                  return results.get(results.size() - 1);
                });
    return new ControlContext(
        store,
        null,
        null,
        null,
        null,
        executor,
        time,
        new DecisionLog(time, new PrintStream(OutputStream.nullOutputStream())),
        new JobMetrics(new PrometheusRegistry()),
        new ControlBounds(6_000, 2_000, 1_500, 120_000, 3_000, 1_000));
  }
}
