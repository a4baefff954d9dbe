package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.policy.job.AdvicePlanner;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobBook;
import org.lentilsail.policy.job.RecoveryGate;
import org.lentilsail.policy.job.RunLedger;
import org.lentilsail.policy.job.RunNumbers;
import org.lentilsail.policy.job.Scheduler;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.store.PrefixFollower;
import org.lentilsail.store.PrefixListener;

/**
 * One tenure of the holder of control: reads what earlier holders kept, asks every worker, and then
 * places work, follows it and carries out maintenance until it is closed. Owned by the control
 * thread.
 */
final class JobControl implements SessionEvents {
  /** Time in ms between checks of what time alone can change. */
  private static final long TICK_MILLIS = 100;

  /** Pause in ms after a failed read of what earlier holders kept. */
  private static final long LOAD_RETRY_MILLIS = 100;

  /** Least time between two watches for submissions. */
  private static final Duration INPUT_INTERVAL = Duration.ofMillis(12);

  /** Least time between two watches for workers; their entries change with each heartbeat. */
  private static final Duration REGISTRY_INTERVAL = Duration.ofMillis(100);

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlParts parts;
  private final Election election;
  private final JobBook jobs = new JobBook();
  private final Fleet fleet = new Fleet();
  private final RecoveryGate gate = new RecoveryGate();
  private final JobInput input;
  private final PrefixFollower inputFollower;
  private final PrefixFollower registryFollower;
  private final HolderItems items;
  private final ProgressWriter writer;
  private final HolderWorkers workers;
  private final RunLedger ledger;
  private final Scheduler scheduler;
  private final MachineControl machines;
  private final AdviceRunner advice;
  private final Placements placements;
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
      final ControlParts parts,
      final Election election,
      final Term term,
      final JobConfiguration configuration) {
    this.parts = parts;
    this.election = election;
    this.term = term;
    this.claimedAt = parts.time().nanos();
    items = new HolderItems(term);
    ledger = new RunLedger(jobs, new RunNumbers(term.number()));
    scheduler = new Scheduler(jobs, fleet, ledger, gate);
    advice = new AdviceRunner(parts, new AdvicePlanner(jobs, fleet), this::changed);
    writer = new ProgressWriter(parts, jobs, items, election::superseded);
    workers =
        new HolderWorkers(
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
        new Placements(parts, ledger, items, workers::send, this::changed, election::superseded);
    machines =
        new MachineControl(
            parts,
            fleet,
            jobs,
            ledger,
            items,
            this::changed,
            workers::ended,
            workers::machinesListed);
    housekeeping = new Housekeeping(parts, jobs, fleet, items);
    input = new JobInput(parts, jobs, ledger, this::inputLoaded, this::changed);
    inputFollower = follower(StoreKeys.INPUT, input, INPUT_INTERVAL);
    registryFollower =
        follower(parts.documents().workersPrefix(), workers.registry(), REGISTRY_INTERVAL);
    jobs.configuration(configuration);
  }

  private PrefixFollower follower(
      final String prefix, final PrefixListener listener, final Duration interval) {
    return new PrefixFollower(
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
    changed();
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
    changed();
  }

  void wave(final WaveRequest request) {
    machines.requested(request);
  }

  @Override
  public boolean isSure() {
    return !closed && election.isSure();
  }

  @Override
  public boolean isStoreDoubtful() {
    return parts.time().nanos() - inputFollower.contactAt() > Duration.ofMillis(1_800).toNanos();
  }

  @Override
  public void fenced() {
    election.doubt();
  }

  @Override
  public void changed() {
    if (open && !passQueued && !closed) {
      passQueued = true;
      parts.executor().execute(this::pass);
    }
  }

  @Override
  public void resolved(final WorkerState worker) {
    gate.resolved(worker.id());
  }

  @Override
  public void gone(final WorkerState worker) {
    if (!worker.isListed()) {
      workers.forget(worker.id());
    }
  }

  @Override
  public void whenKept(final Runnable action) {
    writer.whenSaved(action);
  }

  private void load() {
    KeptState.read(parts.store())
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

  private void restore(final KeptState kept) {
    kept.all().forEach(items::known);
    input.restore(kept.progress());
    machines.restore(kept, claimedAt);
    workers.restore(kept.members(), kept.placed(), claimedAt);
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
        workers.known(),
        "toAsk",
        gate.size(),
        "tookMs",
        (parts.time().nanos() - claimedAt) / NANOS_PER_MILLI);
    workers.open();
    ticker =
        parts
            .executor()
            .scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    changed();
  }

  private void tick() {
    try {
      final long now = parts.time().nanos();
      jobs.beginDue(parts.time().wallMillis(), now);
      workers.tick(now);
      machines.refresh(now);
      if (isSure()) {
        machines.tick(now, term);
        housekeeping.tick(now);
        placements.tick(now);
      }
      changed();
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
      if (isSure()) {
        final long now = parts.time().nanos();
        placements.start(scheduler.place(now));
        advice.ask(now);
      }
      ledger.takeOrders().forEach(workers::send);
      writer.flush();
    } catch (final RuntimeException error) {
      parts.log().log("control-pass-failed", "reason", error.toString());
    }
  }
}
