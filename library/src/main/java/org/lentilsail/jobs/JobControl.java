package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.loggedTask;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.policy.job.AdvicePlanner;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.RecoveryGate;
import org.lentilsail.policy.job.RunNumbers;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.Scheduler;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.PrefixWatcher;
import org.lentilsail.store.StoreRetries;

/**
 * Runs job control for one tenure as leader: restores the persisted state, polls every worker, and
 * then places tasks, tracks them and runs maintenance until it is closed. Confined to the control
 * thread.
 */
final class JobControl implements SessionCallbacks {
  /** Interval in ms between checks of time-based conditions. */
  private static final long TICK_INTERVAL_MILLIS = 100;

  /** Minimum time between two watch requests for submissions. */
  private static final Duration INPUT_WATCH_INTERVAL = Duration.ofMillis(12);

  /**
   * Minimum time between two watch requests for workers, whose entries change with each heartbeat.
   */
  private static final Duration REGISTRY_WATCH_INTERVAL = Duration.ofMillis(100);

  /** Longest time without a response to a watch request, which waits for at most 1.5 s. */
  private static final Duration MAX_WATCH_SILENCE = Duration.ofMillis(1_800);

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlContext context;
  private final Election election;
  private final StoreRetries retries;
  private final StateLoader stateLoader;
  private final JobRegistry jobs = new JobRegistry();
  private final Fleet fleet = new Fleet();
  private final RecoveryGate gate = new RecoveryGate();
  private final CancelledIds cancelledIds = new CancelledIds();
  private final RemovedIds removedIds = new RemovedIds();
  private final JobInput input;
  private final HeldListener heldInput;
  private final HeldListener heldRegistry;
  private final PrefixWatcher inputWatcher;
  private final PrefixWatcher registryWatcher;
  private final LeaderItems items;
  private final ProgressWriter progressWriter;
  private final LeaderWorkers workers;
  private final LeaseProlonger leaseProlonger = new LeaseProlonger(this::pollAllWorkers);
  private final RunTracker runTracker;
  private final Scheduler scheduler;
  private final MachineControl machines;
  private final AdviceRunner advice;
  private final PlacementWriter placements;
  private final Housekeeping housekeeping;
  private final long claimedAt;
  private Term term;
  private ScheduledFuture<?> ticker;
  private boolean inputLoaded;
  private boolean registryLoaded;
  private boolean open;
  private boolean passScheduled;
  private boolean closed;

  JobControl(
      final ControlContext context,
      final Election election,
      final Term term,
      final JobConfiguration configuration,
      final StoreRetries retries) {
    this.context = context;
    this.retries = retries;
    this.stateLoader = new StateLoader(context, retries, this::restore);
    this.election = election;
    this.term = term;
    this.claimedAt = context.time().nanos();
    items = new LeaderItems(term);
    final RunLog runLog = new RunLog(context, jobs, gate);
    gate.reportTo(runLog);
    runTracker = new RunTracker(jobs, new RunNumbers(term.number()), runLog);
    scheduler = new Scheduler(jobs, fleet, runTracker, gate);
    advice = new AdviceRunner(context, new AdvicePlanner(jobs, fleet), this::stateChanged);
    progressWriter = new ProgressWriter(context, jobs, items, election::superseded);
    workers = createWorkers();
    placements = createPlacements();
    machines =
        new MachineControl(
            context,
            fleet,
            jobs,
            runTracker,
            items,
            this::isLeader,
            this::stateChanged,
            workers::workerEnded,
            workers::machinesListed);
    housekeeping = new Housekeeping(context, jobs, cancelledIds, removedIds, fleet, items);
    input = createInput();
    heldInput = new HeldListener(input);
    heldRegistry = new HeldListener(workers.registry());
    inputWatcher = watcher(StoreKeys.INPUT, heldInput, INPUT_WATCH_INTERVAL);
    registryWatcher =
        watcher(context.documents().workersPrefix(), heldRegistry, REGISTRY_WATCH_INTERVAL);
    jobs.configuration(configuration);
  }

  private LeaderWorkers createWorkers() {
    return new LeaderWorkers(
        context,
        fleet,
        runTracker,
        gate,
        items,
        this,
        this::registryLoaded,
        this::workerRemoved,
        election::superseded);
  }

  private JobInput createInput() {
    return new JobInput(
        context, jobs, runTracker, cancelledIds, removedIds, this::inputLoaded, this::stateChanged);
  }

  private PlacementWriter createPlacements() {
    return new PlacementWriter(
        context,
        fleet,
        runTracker,
        items,
        workers::send,
        workers::placementsRemoved,
        this::stateChanged,
        election::superseded);
  }

  private PrefixWatcher watcher(
      final String prefix, final PrefixListener listener, final Duration interval) {
    return new PrefixWatcher(
        context.store(), prefix, listener, context.executor(), context.time(), interval, retries);
  }

  /**
   * Reads submissions and workers at the same time as the persisted state, which is applied first.
   * The order of the reads does not matter: since the claim only this leader changes that state.
   */
  void start() {
    inputWatcher.start();
    registryWatcher.start();
    stateLoader.load();
  }

  /** Continues in a later term when no other daemon was leader in between. */
  void resume(final Term current) {
    term = current;
    items.updateTerm(current);
    leaseProlonger.resumed();
    stateChanged();
  }

  /** Called when the store has confirmed the leadership after failed renewals. */
  void leadershipConfirmed() {
    leaseProlonger.leadershipConfirmed();
    stateChanged();
  }

  void close() {
    closed = true;
    stateLoader.close();
    context.metrics().recordLongestIdleJob(0);
    context.metrics().clearOrganisations();
    inputWatcher.close();
    registryWatcher.close();
    progressWriter.close();
    placements.close();
    machines.close();
    workers.close();
    if (ticker != null) {
      ticker.cancel(false);
    }
  }

  void configuration(final JobConfiguration current) {
    jobs.configuration(current);
    stateChanged();
  }

  void requestWave(final WaveRequest request) {
    machines.requestWave(request);
  }

  @Override
  public boolean isLeader() {
    return !closed && election.isLeader();
  }

  @Override
  public boolean isStoreUnreliable() {
    return election.isRenewalOverdue()
        || context.time().nanos() - inputWatcher.lastResponseAt() > MAX_WATCH_SILENCE.toNanos();
  }

  @Override
  public long unconfirmedNanos() {
    return election.unconfirmedNanos();
  }

  @Override
  public void fenced() {
    election.suspectLease();
  }

  @Override
  public void stateChanged() {
    if (open && !passScheduled && !closed) {
      passScheduled = true;
      context.executor().execute(loggedTask("scheduling pass", this::runSchedulingPass));
    }
  }

  @Override
  public void workerResolved(final WorkerState worker, final DropEvidence evidence) {
    gate.resolved(worker.id(), evidence, context.time().nanos());
  }

  @Override
  public void workerPartlyKnown(final WorkerState worker) {
    workers.partlyKnown(worker);
  }

  @Override
  public void workerGone(final WorkerState worker, final DropEvidence evidence) {
    workers.workerGone(worker, evidence);
  }

  @Override
  public void whenPersisted(final Runnable action) {
    progressWriter.whenPersisted(action);
  }

  private void restore(final PersistedState state) {
    state.all().forEach(items::track);
    input.restore(state.progress());
    machines.restore(state, claimedAt);
    workers.restore(state.members(), state.placementsByWorker(), claimedAt);
    heldInput.release();
    heldRegistry.release();
  }

  private void inputLoaded() {
    inputLoaded = true;
    openWhenLoaded();
  }

  private void workerRemoved(final String worker) {
    placements.workerRemoved(worker);
  }

  private void registryLoaded() {
    registryLoaded = true;
    openWhenLoaded();
  }

  private void openWhenLoaded() {
    if (open || !inputLoaded || !registryLoaded) {
      return;
    }
    open = true;
    context.log().log(
        "control-open",
        "term",
        term.number(),
        "jobs",
        jobs.active().size(),
        "workers",
        workers.knownWorkerCount(),
        "toAsk",
        gate.size(),
        "tookMs",
        (context.time().nanos() - claimedAt) / NANOS_PER_MILLI);
    gate.charge(jobs);
    workers.open();
    ticker =
        context
            .executor()
            .scheduleWithFixedDelay(
                loggedTask("control tick", this::tick),
                TICK_INTERVAL_MILLIS,
                TICK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    stateChanged();
  }

  private void pollAllWorkers() {
    workers.pollAll();
  }

  private void tick() {
    final long now = context.time().nanos();
    jobs.startDueOccurrences(context.time().wallMillis(), now);
    leaseProlonger.tick(isStoreUnreliable(), isLeader());
    workers.tick(now);
    machines.refresh(now);
    if (isLeader()) {
      machines.tick(now, term);
      housekeeping.tick(now);
      placements.tick(now);
    }
    stateChanged();
  }

  private void runSchedulingPass() {
    passScheduled = false;
    if (closed) {
      return;
    }
    if (isLeader()) {
      final long now = context.time().nanos();
      placements.start(scheduler.place(now));
      advice.ask(now);
    }
    runTracker.takeCommands().forEach(workers::send);
    progressWriter.flush();
  }
}
