package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.policy.job.AdvicePlanner;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.RecoveryGate;
import org.lentilsail.policy.job.RunNumbers;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.Scheduler;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.PrefixWatcher;

/**
 * One tenure of the holder of control: reads what earlier holders kept, asks every worker, and then
 * places work, follows it and carries out maintenance until it is closed. Owned by the control
 * thread.
 */
final class JobControl implements SessionCallbacks {
  /** Time in ms between checks of what time alone can change. */
  private static final long TICK_MILLIS = 100;

  /** Pause in ms after a failed read of what earlier holders kept. */
  private static final long LOAD_RETRY_MILLIS = 100;

  /** Least time between two watches for submissions. */
  private static final Duration INPUT_INTERVAL = Duration.ofMillis(12);

  /** Least time between two watches for workers; their entries change with each heartbeat. */
  private static final Duration REGISTRY_INTERVAL = Duration.ofMillis(100);

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlContext parts;
  private final Election election;
  private final JobRegistry jobs = new JobRegistry();
  private final Fleet fleet = new Fleet();
  private final RecoveryGate gate = new RecoveryGate();
  private final JobInput input;
  private final PrefixWatcher inputFollower;
  private final PrefixWatcher registryFollower;
  private final LeaderItems items;
  private final ProgressWriter writer;
  private final LeaderWorkers workers;
  private final RunTracker ledger;
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
  private boolean passQueued;
  private boolean closed;

  JobControl(
      final ControlContext parts,
      final Election election,
      final Term term,
      final JobConfiguration configuration) {
    this.parts = parts;
    this.election = election;
    this.term = term;
    this.claimedAt = parts.time().nanos();
    items = new LeaderItems(term);
    ledger = new RunTracker(jobs, new RunNumbers(term.number()));
    scheduler = new Scheduler(jobs, fleet, ledger, gate);
    advice = new AdviceRunner(parts, new AdvicePlanner(jobs, fleet), this::stateChanged);
    writer = new ProgressWriter(parts, jobs, items, election::superseded);
    workers =
        new LeaderWorkers(
            parts,
            fleet,
            ledger,
            gate,
            items,
            this,
            this::registryLoaded,
            this::forgotten,
            election::superseded);
    placements =
        new PlacementWriter(
            parts, ledger, items, workers::send, this::stateChanged, election::superseded);
    machines =
        new MachineControl(
            parts,
            fleet,
            jobs,
            ledger,
            items,
            this::stateChanged,
            workers::workerEnded,
            workers::machinesListed);
    housekeeping = new Housekeeping(parts, jobs, fleet, items);
    input = new JobInput(parts, jobs, ledger, this::inputLoaded, this::stateChanged);
    inputFollower = follower(StoreKeys.INPUT, input, INPUT_INTERVAL);
    registryFollower =
        follower(parts.documents().workersPrefix(), workers.registry(), REGISTRY_INTERVAL);
    jobs.configuration(configuration);
  }

  private PrefixWatcher follower(
      final String prefix, final PrefixListener listener, final Duration interval) {
    return new PrefixWatcher(
        parts.store(), prefix, listener, parts.executor(), parts.time(), interval);
  }

  void start() {
    load();
  }

  /** Goes on in a later term without another holder in between. */
  void resume(final Term present) {
    term = present;
    items.term(present);
    workers.resume();
    stateChanged();
  }

  void close() {
    closed = true;
    inputFollower.close();
    registryFollower.close();
    writer.close();
    placements.close();
    machines.close();
    workers.close();
    if (ticker != null) {
      ticker.cancel(false);
    }
  }

  void configuration(final JobConfiguration present) {
    jobs.configuration(present);
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
    return parts.time().nanos() - inputFollower.lastResponseAt()
        > Duration.ofMillis(1_800).toNanos();
  }

  @Override
  public void fenced() {
    election.suspectLease();
  }

  @Override
  public void stateChanged() {
    if (open && !passQueued && !closed) {
      passQueued = true;
      parts.executor().execute(this::pass);
    }
  }

  @Override
  public void workerResolved(final WorkerState worker) {
    gate.resolved(worker.id());
  }

  @Override
  public void workerGone(final WorkerState worker) {
    if (!worker.isRegistered()) {
      workers.forget(worker.id());
    }
  }

  @Override
  public void whenPersisted(final Runnable action) {
    writer.whenPersisted(action);
  }

  private void load() {
    PersistedState.read(parts.store())
        .whenCompleteAsync(
            logged(
                (kept, failure) -> {
                  if (closed) {
                    return;
                  }
                  if (failure != null) {
                    parts.log().log("control-load-failed", "reason", failure.getMessage());
                    parts.executor().schedule(this::load, LOAD_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                    return;
                  }
                  restore(kept);
                  inputFollower.start();
                  registryFollower.start();
                }),
            parts.executor());
  }

  private void restore(final PersistedState kept) {
    kept.all().forEach(items::track);
    input.restore(kept.progress());
    machines.restore(kept, claimedAt);
    workers.restore(kept.members(), kept.placementsByWorker(), claimedAt);
  }

  private void inputLoaded() {
    inputLoaded = true;
    openWhenLoaded();
  }

  private void forgotten(final String worker) {
    placements.forget(worker);
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
    parts.log().log(
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
        (parts.time().nanos() - claimedAt) / NANOS_PER_MILLI);
    workers.open();
    ticker =
        parts
            .executor()
            .scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    stateChanged();
  }

  private void tick() {
    try {
      final long now = parts.time().nanos();
      jobs.startDueOccurrences(parts.time().wallMillis(), now);
      workers.tick(now);
      machines.refresh(now);
      if (isLeader()) {
        machines.tick(now, term);
        housekeeping.tick(now);
        placements.tick(now);
      }
      stateChanged();
    } catch (final RuntimeException error) {
      parts.log().log("control-tick-failed", "reason", error.toString());
    }
  }

  private void pass() {
    passQueued = false;
    if (closed) {
      return;
    }
    try {
      if (isLeader()) {
        final long now = parts.time().nanos();
        placements.start(scheduler.place(now));
        advice.ask(now);
      }
      ledger.takeCommands().forEach(workers::send);
      writer.flush();
    } catch (final RuntimeException error) {
      parts.log().log("control-pass-failed", "reason", error.toString());
    }
  }
}
