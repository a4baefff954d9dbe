package org.lentilsail.standin.jobs;

import static org.lentilsail.standin.jobs.SimulatedDeployment.QUEUE;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.lentilsail.jobs.JobNode;
import org.lentilsail.jobs.SubmitOutcome;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.policy.access.Caller;

/** Random jobs, clients and faults on one simulated deployment, and the checks of the rule. */
final class JobLife {
  /** Queue that the operator removes and adds again. */
  private static final String CHANGING_QUEUE = "changing";

  /** Time in ms during which jobs are submitted and faults begin. */
  private static final int FAULTS_MILLIS = 20_000;

  /** Time in ms after the faults in which each job has to end: 14 s and the work that is left. */
  private static final int SETTLE_MILLIS = 18_000;

  /** Failed runs of one task that end its job. */
  private static final int MAX_ATTEMPTS = 3;

  private static final int JOBS = 40;

  /** Prefixes of the keys whose writes may fail on their own, most often those of progress. */
  private static final List<String> WRITTEN_PREFIXES = List.of("p/", "p/", "p/", "roster", "at/");

  /** Limit in ms of the delay of answers, well below the timeout of a call. */
  private static final int MAX_ANSWER_DELAY_MILLIS = 400;

  /** Time in ms after which a client tries again. */
  private static final int CLIENT_RETRY_MILLIS = 400;

  private final Random random;
  private final Random lists;
  private final SimulatedDeployment deployment;
  private final Map<String, JobNode> alive = new LinkedHashMap<>();
  private final Set<String> faultyStores = new LinkedHashSet<>();
  private final Set<String> workers = new LinkedHashSet<>();
  private final Set<String> deadWorkers = new LinkedHashSet<>();
  private final Map<String, Client> clients = new LinkedHashMap<>();
  private final Set<String> violations = new LinkedHashSet<>();
  private final EntryFaults entryFaults;
  private int daemonCount;
  private int workerCount;
  private boolean calm;

  /** Time in ms without further faults, in which a leader may take workers for gone. */
  private int quietMillis;

  JobLife(final long seed) {
    random = new Random(seed);
    lists = new Random(~seed);
    deployment = new SimulatedDeployment(this::durationMillis);
    deployment.workers.failWhen(this::fails);
    entryFaults =
        new EntryFaults(
            deployment,
            random,
            worker -> workers.contains(worker) && !deadWorkers.contains(worker));
  }

  /** Writes the runs and the logs of the daemons to files. */
  void writeTrace(final Path folder) throws IOException {
    Files.createDirectories(folder);
    Files.write(folder.resolve("runs.txt"), deployment.workers.history().events());
    for (final Map.Entry<String, String> log : deployment.logTexts().entrySet()) {
      Files.writeString(folder.resolve(log.getKey() + ".log"), log.getValue());
    }
  }

  List<String> violations() {
    return List.copyOf(violations);
  }

  void play() {
    configure(true);
    final int workerTotal = 8 + random.nextInt(5);
    for (int i = 0; i < workerTotal; i++) {
      startWorker();
    }
    final int daemonTotal = 3 + random.nextInt(5);
    for (int i = 0; i < daemonTotal; i++) {
      startDaemon();
    }
    deployment.advance(Duration.ofMillis(500));
    for (int i = 0; i < JOBS; i++) {
      final Client client = new Client(i);
      clients.put(client.id, client);
      later(random.nextInt(FAULTS_MILLIS), client::submit);
    }
    later(0, this::askForStates);
    scheduleFault();
    scheduleIncompleteLists();
    deployment.advance(Duration.ofMillis(FAULTS_MILLIS));
    endFaults(daemonTotal);
    deployment.advance(Duration.ofMillis(SETTLE_MILLIS));
    clients.values().forEach(Client::checkEnd);
    deployment.close();
    violations.addAll(deployment.workers.history().violations());
  }

  private void later(final long millis, final Runnable task) {
    deployment.executor.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  private void violation(final String text) {
    violations.add(text + ", at " + deployment.time.nanos() / 1_000_000 + " ms");
  }

  // Work

  private long durationMillis(final TaskId task) {
    final boolean lasting = Kind.of(task.job()) == Kind.LASTING;
    return lasting && random.nextInt(3) > 0 ? 0 : 50 + random.nextInt(lasting ? 6_000 : 1_200);
  }

  private boolean fails(final TaskId task) {
    final Kind kind = Kind.of(task.job());
    final boolean failed =
        kind == Kind.LASTING
            || kind == Kind.HOPELESS && task.index() == 0
            || random.nextInt(8) == 0;
    if (failed && !calm && random.nextInt(25) == 0) {
      later(random.nextInt(20), this::killLeader);
    }
    return failed;
  }

  // Faults

  private void scheduleFault() {
    later(
        100 + random.nextInt(1_400) + quietMillis,
        () -> {
          if (!calm) {
            quietMillis = 0;
            beginFault();
            scheduleFault();
          }
        });
  }

  /** Lets lists lack the machine of a worker for a while; other faults don't depend on it. */
  private void scheduleIncompleteLists() {
    later(
        100 + lists.nextInt(1_400),
        () -> {
          if (!calm) {
            final List<String> all = List.copyOf(workers);
            final String machine = "m-" + all.get(lists.nextInt(all.size()));
            deployment.machines.omit(machine, true);
            later(200 + lists.nextInt(2_000), () -> deployment.machines.omit(machine, false));
            scheduleIncompleteLists();
          }
        });
  }

  private void beginFault() {
    switch (random.nextInt(17)) {
      case 0, 1 -> stopPlanned(anyDaemon());
      case 2, 3 -> killLeaderAndPerhapsTheNext();
      case 4 -> killAll();
      case 5 -> disturbStore(anyDaemon(), randomFault(), 200 + random.nextInt(3_000));
      case 6 -> {
        final StoreFault fault = randomFault();
        final int millis = 200 + random.nextInt(4_300);
        List.copyOf(alive.keySet()).forEach(daemon -> disturbStore(daemon, fault, millis));
      }
      case 7 -> deployment.store.compact();
      case 8 -> cutWorkers(anyDaemon());
      case 9 -> crashWorker();
      case 10 -> replaceWorker();
      case 11 -> configure(random.nextBoolean());
      case 12 -> slowStore(random.nextInt(3_000));
      case 13 -> expireEntries();
      case 14 -> outageWithLostHistory();
      case 15 -> failWrites(200 + random.nextInt(5_000));
      default -> {
        deployment.workers.delayStarts(300 + random.nextInt(2_200));
        later(100 + random.nextInt(400), () -> deployment.workers.delayStarts(0));
      }
    }
  }

  private void configure(final boolean withChangingQueue) {
    if (withChangingQueue) {
      deployment.configureQueues(QUEUE, CHANGING_QUEUE);
    } else {
      deployment.configureQueues(QUEUE);
    }
  }

  private void startDaemon() {
    final String daemon = "d" + ++daemonCount;
    alive.put(daemon, deployment.startNode(daemon));
  }

  private String anyDaemon() {
    final List<String> daemons = List.copyOf(alive.keySet());
    return daemons.isEmpty() ? null : daemons.get(random.nextInt(daemons.size()));
  }

  private void stopPlanned(final String daemon) {
    if (daemon != null) {
      alive.get(daemon).resign();
      later(400, () -> kill(daemon, random.nextInt(1_000)));
    }
  }

  /** Kills a daemon for good; another one starts in its place. */
  private void kill(final String daemon, final int replacedAfterMillis) {
    if (alive.remove(daemon) != null) {
      deployment.isolate(daemon);
      later(replacedAfterMillis, this::startDaemon);
    }
  }

  private void killLeader() {
    deployment
        .store
        .get("lead/term")
        .map(item -> new String(item.value(), StandardCharsets.UTF_8))
        .flatMap(
            term -> alive.keySet().stream().filter(id -> term.contains('"' + id + '"')).findFirst())
        .ifPresent(daemon -> kill(daemon, random.nextInt(3_000)));
  }

  private void killLeaderAndPerhapsTheNext() {
    killLeader();
    if (random.nextBoolean()) {
      later(1_200 + random.nextInt(700), this::killLeader);
    }
  }

  private void killAll() {
    List.copyOf(alive.keySet()).forEach(daemon -> kill(daemon, 300 + random.nextInt(2_500)));
  }

  private StoreFault randomFault() {
    return StoreFault.values()[1 + random.nextInt(StoreFault.values().length - 1)];
  }

  private void disturbStore(final String daemon, final StoreFault fault, final int millis) {
    if (daemon != null && faultyStores.add(daemon)) {
      deployment.store.fault(daemon, fault);
      later(millis, () -> repairStore(daemon));
    }
  }

  private void repairStore(final String daemon) {
    if (faultyStores.remove(daemon) && alive.containsKey(daemon)) {
      deployment.store.fault(daemon, StoreFault.NONE);
    }
  }

  /** Delays the answers of the store to all daemons, so that they overtake each other. */
  private void slowStore(final int millis) {
    for (final String daemon : alive.keySet()) {
      deployment.store.delayAnswers(daemon, () -> random.nextInt(MAX_ANSWER_DELAY_MILLIS));
      later(millis, () -> deployment.store.delayAnswers(daemon, () -> 0));
    }
  }

  /** Removes entries of live workers; the leader may be lost when some of them have left. */
  private void expireEntries() {
    quietMillis = 2_500 + random.nextInt(1_500);
    entryFaults.expireSome(workers, 1 + random.nextInt(3));
    if (random.nextInt(4) > 0) {
      failWrites(quietMillis + random.nextInt(1_500));
    }
    if (random.nextInt(4) > 0) {
      later(quietMillis, this::killLeader);
    }
  }

  /** Takes the store away from all daemons; it returns without its history and some entries. */
  private void outageWithLostHistory() {
    final StoreFault fault = randomFault();
    final int millis = 200 + random.nextInt(4_300);
    List.copyOf(alive.keySet()).forEach(daemon -> disturbStore(daemon, fault, millis));
    later(millis - random.nextInt(200), deployment.store::compact);
    later(
        random.nextInt(millis),
        () -> {
          if (!calm) {
            expireEntries();
          }
        });
  }

  /** Fails the writes of one kind of all daemons, while the store serves their other calls. */
  private void failWrites(final int millis) {
    final String prefix = WRITTEN_PREFIXES.get(random.nextInt(WRITTEN_PREFIXES.size()));
    final StoreFault fault = randomFault();
    for (final String daemon : alive.keySet()) {
      deployment.store.faultWrites(daemon, prefix, fault);
      later(millis, () -> deployment.store.faultWrites(daemon, prefix, StoreFault.NONE));
    }
  }

  private void repairWrites(final String daemon) {
    WRITTEN_PREFIXES.forEach(
        prefix -> deployment.store.faultWrites(daemon, prefix, StoreFault.NONE));
  }

  private void cutWorkers(final String daemon) {
    final int share = 2 + random.nextInt(6);
    for (final String worker : workers) {
      if (daemon != null && random.nextInt(share) == 0) {
        deployment.workers.cut(daemon, worker, true);
        later(500 + random.nextInt(8_000), () -> repairLink(daemon, worker));
      }
    }
  }

  private void repairLink(final String daemon, final String worker) {
    if (alive.containsKey(daemon)) {
      deployment.workers.cut(daemon, worker, false);
    }
  }

  private void startWorker() {
    final String worker = "w" + ++workerCount;
    workers.add(worker);
    deployment.startWorker(worker);
    deployment.startMachineOf(worker);
  }

  private String anyWorker() {
    return List.copyOf(workers).get(random.nextInt(workers.size()));
  }

  private void crashWorker() {
    final String worker = anyWorker();
    if (deadWorkers.add(worker)) {
      deployment.workers.fail(worker);
      if (random.nextBoolean()) {
        later(random.nextInt(1_500), () -> removeEntry(worker));
      }
      later(random.nextInt(5_000), () -> reviveWorker(worker));
    }
  }

  private void removeEntry(final String worker) {
    if (deadWorkers.contains(worker)) {
      deployment.store.remove("servers/" + worker);
    }
  }

  private void reviveWorker(final String worker) {
    if (deadWorkers.remove(worker)) {
      deployment.reviveWorker(worker);
    }
  }

  private void replaceWorker() {
    final String worker = anyWorker();
    if (!deadWorkers.contains(worker) && workers.remove(worker)) {
      deployment.store.remove("servers/" + worker);
      deployment.workers.fail(worker);
      deployment.stopMachineOf(worker);
      startWorker();
    }
  }

  private void endFaults(final int daemonTotal) {
    calm = true;
    List.copyOf(faultyStores).forEach(this::repairStore);
    alive.keySet().forEach(daemon -> workers.forEach(worker -> repairLink(daemon, worker)));
    List.copyOf(deadWorkers).forEach(this::reviveWorker);
    entryFaults.restoreAll();
    alive.keySet().forEach(this::repairWrites);
    deployment.workers.delayStarts(0);
    alive.keySet().forEach(daemon -> deployment.store.delayAnswers(daemon, () -> 0));
    while (alive.size() < Math.min(3, daemonTotal)) {
      startDaemon();
    }
  }

  // Clients

  private void askForStates() {
    clients.values().stream()
        .filter(client -> client.accepted && random.nextInt(4) == 0)
        .forEach(client -> client.ask(anyDaemon()));
    later(40, this::askForStates);
  }

  /** Kinds of jobs, told apart by the first digit of their ids. */
  private enum Kind {
    BATCH,
    LASTING,
    HOPELESS,
    SCHEDULED;

    static Kind of(final String job) {
      return values()[job.charAt(0) - '0'];
    }
  }

  /** The client of one job. */
  private final class Client {
    private final Kind kind;
    private final String id;
    private final String queue = random.nextInt(3) == 0 ? CHANGING_QUEUE : QUEUE;
    private final List<StepSpec> steps = new ArrayList<>();
    private JobSpec spec;
    private boolean accepted;
    private boolean cancelled;
    private JobState finalState;

    Client(final int number) {
      final int draw = random.nextInt(10);
      kind = draw < 6 ? Kind.BATCH : Kind.values()[Math.min(3, draw - 5)];
      id = String.format("%d%015x", kind.ordinal(), number + 1);
      if (kind == Kind.LASTING) {
        steps.add(SimulatedDeployment.longRunning(1 + random.nextInt(3)));
        return;
      }
      steps.add(SimulatedDeployment.step(1 + random.nextInt(5)));
      while (random.nextInt(2) == 0 && steps.size() < 4) {
        steps.add(SimulatedDeployment.step(1 + random.nextInt(5), random.nextInt(steps.size())));
      }
    }

    void submit() {
      if (spec == null) {
        spec =
            kind == Kind.SCHEDULED
                ? new JobSpec(id, "work", steps, 2, deployment.time.wallMillis() + 1_000, 3_000)
                : new JobSpec(id, "work", steps, 0, 0, 0);
      }
      send();
      if (random.nextInt(4) == 0) {
        later(random.nextInt(30), this::send);
      }
    }

    private void send() {
      final String daemon = anyDaemon();
      if (daemon == null) {
        later(CLIENT_RETRY_MILLIS, this::retry);
        return;
      }
      alive
          .get(daemon)
          .jobApi()
          .submit(deployment.submitted(queue, spec))
          .thenAccept(outcome -> handleOutcome(daemon, outcome));
      later(2_000, this::retry);
    }

    private void retry() {
      if (!accepted && !calm) {
        send();
      }
    }

    private void handleOutcome(final String daemon, final SubmitOutcome outcome) {
      if (!alive.containsKey(daemon)) {
        return;
      }
      if (outcome != SubmitOutcome.ACCEPTED) {
        later(CLIENT_RETRY_MILLIS, this::retry);
      } else if (!accepted) {
        accepted = true;
        afterAcceptance();
      }
    }

    private void afterAcceptance() {
      if (random.nextInt(20) == 0 && !calm) {
        later(random.nextInt(10), JobLife.this::killAll);
      }
      if (random.nextInt(5) == 0) {
        later(random.nextInt(5_000), this::send);
      }
      if (random.nextInt(6) == 0) {
        later(random.nextInt(4_000), this::cancel);
      }
      alive.keySet().forEach(this::ask);
    }

    private void cancel() {
      final String daemon = anyDaemon();
      if (daemon != null) {
        cancelled = true;
        alive.get(daemon).jobApi().cancel(id, Caller.UNRESTRICTED);
      }
    }

    void ask(final String daemon) {
      if (daemon != null) {
        alive
            .get(daemon)
            .jobApi()
            .state(id, Caller.UNRESTRICTED)
            .whenComplete(
                (state, failure) -> {
                  if (failure == null && alive.containsKey(daemon)) {
                    check(daemon, state);
                  }
                });
      }
    }

    private void check(final String daemon, final Optional<JobState> shown) {
      if (shown.isEmpty()) {
        violation(id + " is accepted and unknown to " + daemon);
        return;
      }
      final JobState state = shown.get();
      if (finalState != null && state != finalState) {
        violation(id + " was " + finalState + " and is " + state + " for " + daemon);
      }
      if (state == JobState.FAILED
          && deployment.workers.history().mostFailures(id) < MAX_ATTEMPTS) {
        violation(id + " is failed without cause");
      }
      if (state == JobState.CANCELLED && !cancelled) {
        violation(id + " is cancelled and nobody has cancelled it");
      }
      if (state == JobState.COMPLETED && !isDone()) {
        violation(id + " is completed and a task is not done");
      }
      finalState = state.isFinal() ? state : finalState;
    }

    private boolean isDone() {
      final int tasks = steps.stream().mapToInt(StepSpec::count).sum();
      final int runs = Math.max(1, spec.maxRuns());
      return deployment.workers.history().done().stream()
              .filter(task -> task.job().equals(id))
              .count()
          == (long) tasks * runs;
    }

    void checkEnd() {
      if (!accepted) {
        return;
      }
      for (final Map.Entry<String, JobNode> node : alive.entrySet()) {
        final Optional<JobState> state = deployment.state(node.getValue(), id);
        check(node.getKey(), state);
        if (kind != Kind.LASTING && !state.map(JobState::isFinal).orElse(false)) {
          violation(id + " is stuck as " + state);
        }
      }
      if (kind == Kind.LASTING && !cancelled) {
        checkLasting();
      }
    }

    /** A task that has just failed may be between two runs, so each has 3 s to run. */
    private void checkLasting() {
      final int wanted = steps.get(0).count();
      for (int i = 0; i < 30 && deployment.workers.history().running(id) < wanted; i++) {
        deployment.advance(Duration.ofMillis(100));
      }
      if (deployment.workers.history().running(id) < wanted) {
        violation(id + " lacks a long-running task");
      }
    }
  }
}
