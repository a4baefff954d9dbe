package org.lentilsail.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.ManualExecutor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.model.job.QueueSpec;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.ServiceSpec;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.RunNumbers;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.StepSpecBuilder;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.TransactionResult;
import org.lentilsail.worker.MachineClient;
import org.lentilsail.worker.MachineCommandResult;

/**
 * Guards against a move that is taken for executed because a list lacks its machine: its command
 * may still be executed, and the worker got tasks again, which the move then ended.
 */
class MoveRunnerTest {
  private static final int WORKERS = 8;
  private static final Resources CAPACITY = new Resources(64_000, 256_000, 0);

  private final ManualTimeSource time = new ManualTimeSource(1_700_000_000_000L);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final DecisionLog log =
      new DecisionLog(time, new PrintStream(OutputStream.nullOutputStream()));
  private final JobRegistry jobs = new JobRegistry();
  private final Fleet fleet = new Fleet();
  private final List<Machine> machines = new ArrayList<>();
  private final List<String> moved = new ArrayList<>();
  private final MachineDirectory directory =
      new MachineDirectory(context(), new LeaderItems(new Term(1, 1)), () -> true, list -> {});
  private final MoveRunner moves =
      new MoveRunner(
          context(),
          fleet,
          jobs,
          new RunTracker(jobs, new RunNumbers(1)),
          directory,
          (worker, evidence) -> {});

  /** Lets a burst of one pool order the move of idle machines of the other. */
  @BeforeEach
  void orderMoves() {
    jobs.configuration(
        new JobConfiguration(
            1,
            List.of(
                new QueueSpec("holds", "host", "/holds/", "booking", 0, 2, 1.6, 600, false, false)),
            List.of(
                new ServiceSpec("booking", true, false), new ServiceSpec("starter", true, false)),
            0,
            List.of()));
    for (int i = 0; i < WORKERS; i++) {
      addWorker("b" + i, "booking");
      addWorker("s" + i, "starter");
    }
    tick(Duration.ofMillis(300));
    for (int i = 0; i < 4 * WORKERS; i++) {
      final JobSpec spec =
          new JobSpec(
              String.format("%016x", i),
              "work",
              List.of(StepSpecBuilder.tasks(6).demand(12_000, 1_000).estimateMillis(600).build()),
              0,
              0,
              0);
      jobs.accept(new SubmittedJob("holds", "booking", 0, spec, null, ""), 0, time.nanos());
    }
    for (int i = 0; i < 20 && moved.isEmpty(); i++) {
      tick(Duration.ofMillis(300));
    }
    assertThat(moved, is(not(empty())));
  }

  @AfterEach
  void close() {
    log.close();
  }

  @ParameterizedTest
  @CsvSource({"missing, true", "unchanged, true", "moving, false"})
  void moveOfUnknownOutcomeEndsOnlyWhenRowShowsIt(final String row, final boolean stillMoving) {
    final String machine = moved.get(0);
    switch (row) {
      case "missing" -> machines.removeIf(listed -> listed.id().equals(machine));
      case "moving" ->
          machines.replaceAll(
              listed ->
                  listed.id().equals(machine)
                      ? machine(machine, "booking", MachineState.MOVING, "")
                      : listed);
      default -> {}
    }
    tick(Duration.ofMillis(300));
    tick(Duration.ofMillis(300));
    assertThat(moves.isMoving(machine), is(stillMoving));
    final WorkerState worker = fleet.worker(machine.substring("m-".length()));
    assertThat(worker.isCordoned(), is(stillMoving));
  }

  private void tick(final Duration step) {
    executor.advance(step);
    directory.refresh(time.nanos());
    executor.advance(Duration.ofMillis(1));
    moves.tick(time.nanos(), new Term(1, 1), Set.of());
    directory.commands().tick(time.nanos(), directory.machines());
    executor.advance(Duration.ofMillis(1));
  }

  private void addWorker(final String id, final String service) {
    final WorkerState worker =
        new WorkerState(
            new WorkerEntry(
                id,
                service,
                InetSocketAddress.createUnresolved("10.0.0.1", 80),
                "north",
                false,
                CAPACITY,
                List.of("a"),
                1),
            time.nanos());
    new RunTracker(jobs, new RunNumbers(1))
        .applyReport(worker, new WorkerReport(1_000, 1, List.of(), List.of()), 0, 0, 0);
    fleet.add(worker);
    machines.add(machine("m-" + id, service, MachineState.UP, id));
  }

  private static Machine machine(
      final String id, final String pool, final MachineState state, final String worker) {
    return new Machine(id, pool, state, "north", List.of(), CAPACITY, worker);
  }

  private ControlContext context() {
    final KeyValueStore store =
        (KeyValueStore)
            Proxy.newProxyInstance(
                KeyValueStore.class.getClassLoader(),
                new Class<?>[] {KeyValueStore.class},
                (proxy, method, arguments) ->
                    CompletableFuture.completedFuture(new TransactionResult(true, 10, List.of())));
    return new ControlContext(
        store,
        null,
        new UnansweredMachines(),
        null,
        null,
        executor,
        time,
        log,
        new JobMetrics(new PrometheusRegistry()),
        new ControlBounds(6_000, 2_000, 1_500, 120_000, 3_000, 1_000));
  }

  /** Lists the machines and leaves commands without an answer. */
  private final class UnansweredMachines implements MachineClient {
    @Override
    public CompletableFuture<List<Machine>> list() {
      return CompletableFuture.completedFuture(List.copyOf(machines));
    }

    @Override
    public CompletableFuture<MachineCommandResult> move(
        final String machine, final String pool, final long token) {
      moved.add(machine);
      return CompletableFuture.completedFuture(MachineCommandResult.UNKNOWN);
    }

    @Override
    public CompletableFuture<MachineCommandResult> maintain(
        final String machine, final long wave, final long token) {
      return CompletableFuture.completedFuture(MachineCommandResult.UNKNOWN);
    }
  }
}
