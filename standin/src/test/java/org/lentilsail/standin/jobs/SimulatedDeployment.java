package org.lentilsail.standin.jobs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.lentilsail.ManualExecutor;
import org.lentilsail.jobs.ControlBounds;
import org.lentilsail.jobs.ControlContext;
import org.lentilsail.jobs.FleetDocuments;
import org.lentilsail.jobs.JobMetrics;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.jobs.SubmitOutcome;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.model.job.Organisation;
import org.lentilsail.model.job.QueueSpec;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.ServiceSpec;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.policy.access.Caller;
import org.lentilsail.policy.job.StepSpecBuilder;
import org.lentilsail.store.StoredItem;
import org.lentilsail.worker.Advice;
import org.lentilsail.worker.AdviceClient;

/** Daemons, workers and the store of a small deployment on one manual clock. */
final class SimulatedDeployment {
  static final String SERVICE = "booking";
  static final String QUEUE = "holds";

  /** Duration of the leader's lease, with additional time to claim leadership and to load state. */
  static final Duration FAIL_OVER = Duration.ofMillis(1_800);

  /** Maximum duration in ms of a worker's lease, as in the users' deployments. */
  static final long MAX_LEASE_MILLIS = 6_000;

  /** Time between the occurrences of a scheduled job. */
  static final Duration OCCURRENCE_INTERVAL = Duration.ofSeconds(4);

  /** Validity of a permit in ms. */
  static final long PERMIT_MILLIS = 1_000;

  /** Queue whose steps need a permit. */
  static final String ADVISED_QUEUE = "advised";

  private static final String CONFIGURATION_KEY = "op/config";

  private static final long WALL_ORIGIN = 1_700_000_000_000L;

  final ManualTimeSource time = new ManualTimeSource(WALL_ORIGIN);
  final ManualExecutor executor = new ManualExecutor(time);
  final MemoryStore store = new MemoryStore(time, executor);
  final SimulatedWorkers workers;
  final SimulatedMachines machines = new SimulatedMachines();

  /** Worker ids of each request to the advice service, in order of the requests. */
  final List<List<String>> adviceRequests = new ArrayList<>();

  /** Permits by worker that the advice service grants; only these workers may run advised steps. */
  final Map<String, String> permits = new HashMap<>();

  private final AdviceClient advice =
      (step, workerIds) -> {
        adviceRequests.add(workerIds);
        final Map<String, String> granted = new HashMap<>(permits);
        granted.keySet().retainAll(workerIds);
        return CompletableFuture.completedFuture(new Advice(granted, PERMIT_MILLIS));
      };
  private final Map<String, WorkerEntry> entries = new HashMap<>();
  private final Map<String, JobNode> nodes = new LinkedHashMap<>();
  private final List<DecisionLog> logs = new ArrayList<>();
  private final Map<String, ByteArrayOutputStream> logTexts = new LinkedHashMap<>();
  private List<Organisation> organisations = List.of();

  SimulatedDeployment(final ToLongFunction<TaskId> durations) {
    workers = new SimulatedWorkers(time, executor, durations);
    configureQueues(QUEUE, ADVISED_QUEUE);
  }

  /** Writes a configuration with just these queues. */
  void configureQueues(final String... names) {
    store.put(CONFIGURATION_KEY, String.join(",", names).getBytes(StandardCharsets.UTF_8));
  }

  /** Writes a configuration with the queues of the deployment and just these organisations. */
  void configureOrganisations(final Organisation... configured) {
    organisations = List.of(configured);
    configureQueues(QUEUE, ADVISED_QUEUE);
  }

  /** Starts daemons of the default size one after the other, so that the first one leads. */
  List<JobNode> startNodes(final String... daemons) {
    final List<JobNode> started = new ArrayList<>();
    for (final String daemon : daemons) {
      started.add(startNode(daemon));
      advance(Duration.ofMillis(500));
    }
    return started;
  }

  /** Starts a daemon on a VM of the default size. */
  JobNode startNode(final String daemon) {
    return startNode(daemon, 750);
  }

  /** Starts a daemon on a VM with the given CPU capacity in millicores. */
  JobNode startNode(final String daemon, final long cpuMillis) {
    final ByteArrayOutputStream text = new ByteArrayOutputStream();
    final DecisionLog log =
        new DecisionLog(time, new PrintStream(text, false, StandardCharsets.UTF_8));
    logs.add(log);
    logTexts.put(daemon, text);
    final JobNode node =
        new JobNode(
            new ControlContext(
                store.client(daemon),
                workers.client(daemon),
                machines.client(daemon),
                advice,
                new Documents(),
                executor,
                time,
                log,
                new JobMetrics(new PrometheusRegistry()),
                new ControlBounds(MAX_LEASE_MILLIS, 2_000, 1_500, 120_000, 3_000, 1_000)),
            daemon,
            cpuMillis);
    nodes.put(daemon, node);
    node.start();
    return node;
  }

  /** Starts a worker and registers it in the store. */
  void startWorker(final String id) {
    startWorker(id, 8_000);
  }

  /** Starts a worker with the given CPU capacity in millicores and registers it in the store. */
  void startWorker(final String id, final long cpuMillis) {
    final WorkerEntry entry =
        new WorkerEntry(
            id,
            SERVICE,
            InetSocketAddress.createUnresolved("10.0.0.1", 80),
            "north",
            false,
            new Resources(cpuMillis, 8_000, 0),
            List.of("a", "rack-1"),
            1);
    entries.put(id, entry);
    workers.start(entry);
    writeEntry(id);
  }

  /** Restarts a worker, whose entry in the store stays that of the earlier incarnation. */
  void restartWorker(final String id) {
    final WorkerEntry earlier = entries.get(id);
    workers.crash(id);
    workers.start(earlier.withStartTime(earlier.startTimeMillis() + 1));
  }

  /** Writes the entry of the present incarnation of a worker that was restarted once. */
  void writeEntryOfRestart(final String id) {
    entries.computeIfPresent(
        id, (key, earlier) -> earlier.withStartTime(earlier.startTimeMillis() + 1));
    writeEntry(id);
  }

  /** Ends a worker and its outcomes, and starts it again under the same id, with a new entry. */
  void reviveWorker(final String id) {
    final WorkerEntry earlier = entries.get(id);
    final WorkerEntry entry = earlier.withStartTime(earlier.startTimeMillis() + 1);
    workers.fail(id);
    entries.put(id, entry);
    workers.start(entry);
    writeEntry(id);
  }

  /** Ends a worker and starts it again under the same id at another address, with a new entry. */
  void reviveWorkerElsewhere(final String id) {
    final WorkerEntry earlier = entries.get(id);
    final WorkerEntry entry =
        new WorkerEntry(
            id,
            SERVICE,
            InetSocketAddress.createUnresolved("10.0.0.2", 80),
            earlier.zone(),
            false,
            earlier.capacity(),
            earlier.labels(),
            earlier.startTimeMillis() + 1);
    workers.fail(id);
    entries.put(id, entry);
    workers.start(entry);
    writeEntry(id);
  }

  /** Writes the latest entry of a worker. */
  void writeEntry(final String id) {
    store.put("servers/" + id, id.getBytes(StandardCharsets.UTF_8));
  }

  /** Removes the entry of a worker, as the store does when its heartbeats do not arrive. */
  void expireEntry(final String id) {
    store.remove("servers/" + id);
  }

  /** Adds a machine without a worker. */
  void startMachine(final String id) {
    addMachine(id, "spare", "");
  }

  /** Adds a machine that hosts a worker, so that the list of machines shows that it runs. */
  void startMachineOf(final String worker) {
    addMachine("m-" + worker, SERVICE, worker);
  }

  /** Shows in the list of machines that the machine of a worker is down. */
  void stopMachineOf(final String worker) {
    machines.put(machine("m-" + worker, SERVICE, MachineState.DOWN, ""));
  }

  /** Shows the machine of a worker in the list of machines in another state. */
  void showMachineOf(
      final String worker, final String pool, final MachineState state, final String id) {
    machines.put(machine("m-" + worker, pool, state, id));
  }

  private void addMachine(final String id, final String pool, final String worker) {
    machines.put(machine(id, pool, MachineState.UP, worker));
  }

  private static Machine machine(
      final String id, final String pool, final MachineState state, final String worker) {
    return new Machine(id, pool, state, "north", List.of(), new Resources(8_000, 8_000, 0), worker);
  }

  /** Disconnects a daemon from the store and from all workers, like a lost VM. */
  void isolate(final String daemon) {
    store.fault(daemon, StoreFault.SILENT);
    entries.keySet().forEach(worker -> workers.cut(daemon, worker, true));
  }

  void advance(final Duration step) {
    executor.advance(step);
  }

  /** Submits a job and waits for the response. */
  SubmitOutcome submit(final JobNode node, final String id, final StepSpec... steps) {
    return submit(node, QUEUE, id, steps);
  }

  SubmitOutcome submit(
      final JobNode node, final String queue, final String id, final StepSpec... steps) {
    return submit(node, queue, new JobSpec(id, "work", List.of(steps), 0, 0, 0));
  }

  private SubmitOutcome submit(final JobNode node, final String queue, final JobSpec spec) {
    return await(node.jobApi().submit(submitted(queue, spec)), Duration.ofSeconds(2));
  }

  /** Submits a job of an organisation and waits for the response. */
  SubmitOutcome submitFor(
      final JobNode node, final String organisation, final String id, final StepSpec... steps) {
    final JobSpec spec = new JobSpec(id, "work", List.of(steps), 0, 0, 0);
    final SubmittedJob job =
        new SubmittedJob(QUEUE, SERVICE, time.wallMillis(), spec, queue(QUEUE), organisation);
    return await(node.jobApi().submit(job), Duration.ofSeconds(2));
  }

  /** Describes a job that is submitted now. */
  SubmittedJob submitted(final String queue, final JobSpec spec) {
    return new SubmittedJob(queue, SERVICE, time.wallMillis(), spec, queue(queue), "");
  }

  /** Submits a job whose steps run twice, the first time after the given delay. */
  SubmitOutcome submitScheduled(
      final JobNode node, final String id, final Duration delay, final StepSpec... steps) {
    final long firstRunMillis = time.wallMillis() + delay.toMillis();
    return submit(
        node,
        QUEUE,
        new JobSpec(id, "work", List.of(steps), 2, firstRunMillis, OCCURRENCE_INTERVAL.toMillis()));
  }

  Optional<JobState> state(final JobNode node, final String id) {
    return await(node.jobApi().state(id, Caller.UNRESTRICTED), Duration.ofSeconds(2));
  }

  SubmitOutcome cancel(final JobNode node, final String id) {
    return await(node.jobApi().cancel(id, Caller.UNRESTRICTED), Duration.ofSeconds(3));
  }

  <T> T await(final CompletableFuture<T> response, final Duration limit) {
    final long end = time.nanos() + limit.toNanos();
    while (!response.isDone() && time.nanos() < end) {
      advance(Duration.ofMillis(1));
    }
    return response.join();
  }

  void close() {
    logs.forEach(DecisionLog::close);
  }

  /** Returns the log of each daemon, whole after {@link #close}. */
  Map<String, String> logTexts() {
    final Map<String, String> texts = new LinkedHashMap<>();
    logTexts.forEach((daemon, text) -> texts.put(daemon, text.toString(StandardCharsets.UTF_8)));
    return texts;
  }

  /** Closes the deployment and asserts that no task ran twice. */
  void closeAndCheckRuns() {
    close();
    assertThat(workers.history().violations(), is(empty()));
  }

  static StepSpec step(final int count, final Integer... after) {
    return spec(count).after(List.of(after)).build();
  }

  /** Creates a step whose tasks run until the job is cancelled, one on a worker. */
  static StepSpec longRunning(final int count) {
    return spec(count).longRunning(1).maxPerWorker(1).build();
  }

  /** Creates a step whose tasks can only run together. */
  static StepSpec gang(final int count) {
    return spec(count).gang().build();
  }

  private static StepSpecBuilder spec(final int count) {
    return StepSpecBuilder.tasks(count).demand(1_000, 100).estimateMillis(300);
  }

  private static QueueSpec queue(final String name) {
    final boolean advised = name.equals(ADVISED_QUEUE);
    return new QueueSpec(name, "host", '/' + name + '/', SERVICE, 0, 3, 1.6, 600, advised, false);
  }

  /** Interprets the items of this deployment, whose values are ids of workers and machines. */
  private final class Documents implements FleetDocuments {
    @Override
    public String workersPrefix() {
      return "servers/";
    }

    @Override
    public String operatorPrefix() {
      return "op/";
    }

    @Override
    public Optional<WorkerEntry> worker(final StoredItem item) {
      return Optional.ofNullable(entries.get(new String(item.value(), StandardCharsets.UTF_8)));
    }

    @Override
    public boolean isConfiguration(final StoredItem item) {
      return item.key().equals(CONFIGURATION_KEY);
    }

    @Override
    public Optional<JobConfiguration> configuration(final StoredItem item) {
      if (!isConfiguration(item)) {
        return Optional.empty();
      }
      final String[] names = new String(item.value(), StandardCharsets.UTF_8).split(",");
      return Optional.of(
          new JobConfiguration(
              item.revision(),
              Stream.of(names).map(SimulatedDeployment::queue).toList(),
              List.of(new ServiceSpec(SERVICE, true, false)),
              0,
              organisations));
    }

    @Override
    public Optional<WaveRequest> wave(final StoredItem item) {
      return item.key().startsWith("op/wave/")
          ? Optional.of(
              new WaveRequest(
                  Long.parseLong(item.key().substring("op/wave/".length())),
                  List.of(new String(item.value(), StandardCharsets.UTF_8).split(",")),
                  9_000,
                  1))
          : Optional.empty();
    }

    @Override
    public String waveStatusKey(final long number) {
      return "status/" + number;
    }

    @Override
    public byte[] waveStatus(final boolean completed) {
      return new byte[0];
    }
  }
}
