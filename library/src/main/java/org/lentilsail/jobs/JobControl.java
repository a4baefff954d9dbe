package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.job.JobConfiguration;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobBook;
import org.lentilsail.policy.job.Order;
import org.lentilsail.policy.job.RecoveryGate;
import org.lentilsail.policy.job.RunLedger;
import org.lentilsail.policy.job.RunNumbers;
import org.lentilsail.policy.job.Scheduler;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.store.ItemPage;
import org.lentilsail.store.PrefixFollower;
import org.lentilsail.store.RangeReader;
import org.lentilsail.store.StoredItem;

/**
 * One tenure of the holder of control: reads what earlier holders kept, asks every worker, and then
 * places work, follows it and carries out maintenance until it is closed. Owned by the control
 * thread.
 */
final class JobControl implements WorkerSession.SessionEvents, WorkerRegistry.Listener {
  /** Time in ms between checks of what time alone can change. */
  private static final long TICK_MILLIS = 100;

  /** Pause in ms after a failed read of what earlier holders kept. */
  private static final long LOAD_RETRY_MILLIS = 100;

  /** Least time between two watches for submissions. */
  private static final Duration INPUT_INTERVAL = Duration.ofMillis(12);

  /** Least time between two watches for workers; their entries change with each heartbeat. */
  private static final Duration REGISTRY_INTERVAL = Duration.ofMillis(100);

  /** Slowest rate of a worker's clock, with some time for the way of an order. */
  private static final double LEASE_MARGIN = 1.03;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlParts parts;
  private final Election election;
  private final JobBook jobs = new JobBook();
  private final Fleet fleet = new Fleet();
  private final RecoveryGate gate = new RecoveryGate();
  private final Map<String, WorkerSession> sessions = new LinkedHashMap<>();
  private final Map<String, WorkerEntry> reported = new HashMap<>();
  private final JobInput input;
  private final WorkerRegistry registry;
  private final PrefixFollower inputFollower;
  private final PrefixFollower registryFollower;
  private final ProgressWriter writer;
  private final Roster roster;
  private final RunLedger ledger;
  private final Scheduler scheduler;
  private final MachineDirectory directory;
  private final WaveRunner waves;
  private final MoveRunner moves;
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
    ledger = new RunLedger(jobs, new RunNumbers(term.number()));
    scheduler = new Scheduler(jobs, fleet, ledger, gate);
    writer = new ProgressWriter(parts, jobs, term, election::superseded);
    roster = new Roster(parts, term, this::admitted, election::superseded);
    directory = new MachineDirectory(parts, this::machinesListed);
    waves = new WaveRunner(parts, fleet, jobs, ledger, directory, this::changed, this::forget);
    moves = new MoveRunner(parts, fleet, jobs, ledger, directory, this::forget);
    housekeeping = new Housekeeping(parts, jobs, fleet);
    input = new JobInput(parts, jobs, ledger, this::inputLoaded, this::changed);
    registry = new WorkerRegistry(parts, this, this::registryLoaded);
    inputFollower =
        new PrefixFollower(
            parts.store(), StoreKeys.INPUT, input, parts.executor(), parts.time(), INPUT_INTERVAL);
    registryFollower =
        new PrefixFollower(
            parts.store(),
            parts.documents().workersPrefix(),
            registry,
            parts.executor(),
            parts.time(),
            REGISTRY_INTERVAL);
    jobs.configuration(configuration);
  }

  void start() {
    load();
  }

  /** Goes on in a later term without another holder in between. */
  void resume(final Term present) {
    term = present;
    writer.term(present);
    roster.term(present);
    sessions.values().forEach(session -> session.token(present.number()));
    sessions.values().forEach(WorkerSession::look);
    changed();
  }

  void close() {
    closed = true;
    inputFollower.close();
    registryFollower.close();
    writer.close();
    roster.close();
    waves.close();
    moves.close();
    sessions.values().forEach(WorkerSession::close);
    if (ticker != null) {
      ticker.cancel(false);
    }
  }

  void configuration(final JobConfiguration present) {
    jobs.configuration(present);
    changed();
  }

  void wave(final WaveRequest request) {
    waves.requested(request);
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
      forget(worker.id());
    }
  }

  @Override
  public void whenKept(final Runnable action) {
    writer.whenSaved(action);
  }

  @Override
  public void reported(final WorkerEntry entry) {
    reported.put(entry.id(), entry);
    if (!open) {
      return;
    }
    final WorkerState known = fleet.worker(entry.id());
    if (known == null) {
      roster.admit(entry);
      return;
    }
    final boolean reborn = entry.bornMillis() > known.entry().bornMillis();
    final boolean usableBefore = known.isListed() && !known.entry().draining();
    known.entry(entry);
    if (reborn) {
      parts.log().log("worker-reborn", "worker", entry.id(), "born", entry.bornMillis());
      sessions.get(entry.id()).reborn();
    }
    if (entry.draining() && usableBefore) {
      parts.log().log("worker-draining", "worker", entry.id());
    }
    changed();
  }

  @Override
  public void removed(final String id) {
    reported.remove(id);
    final WorkerState worker = fleet.worker(id);
    if (worker != null) {
      worker.unlisted();
      forgetWhenEmpty(worker);
    }
  }

  private void load() {
    final CompletableFuture<ItemPage> progress =
        RangeReader.readAll(parts.store(), StoreKeys.PROGRESS);
    final CompletableFuture<ItemPage> waveItems =
        RangeReader.readAll(parts.store(), StoreKeys.WAVES);
    final CompletableFuture<Optional<StoredItem>> members = parts.store().get(StoreKeys.ROSTER);
    final CompletableFuture<Optional<StoredItem>> orders =
        parts.store().get(StoreKeys.MACHINE_ORDERS);
    CompletableFuture.allOf(progress, waveItems, members, orders)
        .whenCompleteAsync(
            logged(
                (done, failure) -> {
                  if (closed) {
                    return;
                  }
                  if (failure != null) {
                    parts.log().log("control-load-failed", "reason", failure.getMessage());
                    parts.executor().schedule(this::load, LOAD_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                    return;
                  }
                  input.restore(progress.join().items());
                  waves.restore(waveItems.join().items());
                  restoreRoster(members.join());
                  directory.orders().restore(orders.join(), claimedAt);
                  inputFollower.start();
                  registryFollower.start();
                }),
            parts.executor());
  }

  private void restoreRoster(final Optional<StoredItem> item) {
    final List<WorkerEntry> kept =
        item.flatMap(found -> Documents.<RosterDocument>read(Documents.ROSTER, found))
            .map(document -> document.workers().stream().map(RosterDocument.Row::entry).toList())
            .orElse(List.of());
    roster.restore(kept);
    final Map<String, String> services = new HashMap<>();
    for (final WorkerEntry entry : kept) {
      services.put(entry.id(), entry.service());
      reported.putIfAbsent(entry.id(), entry);
    }
    final long lease = (long) (parts.bounds().maxLeaseMillis() * LEASE_MARGIN * NANOS_PER_MILLI);
    gate.close(services, claimedAt, lease);
    registry.expect(services.keySet());
  }

  private void inputLoaded() {
    inputLoaded = true;
    openWhenLoaded();
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
        reported.size(),
        "toAsk",
        gate.size(),
        "tookMs",
        (parts.time().nanos() - claimedAt) / NANOS_PER_MILLI);
    List.copyOf(reported.values()).forEach(roster::admit);
    ticker =
        parts
            .executor()
            .scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    changed();
  }

  private void admitted(final WorkerEntry entry) {
    if (closed || fleet.worker(entry.id()) != null) {
      return;
    }
    parts.log().log("worker-admitted", "worker", entry.id(), "service", entry.service());
    final WorkerState worker = new WorkerState(entry, parts.time().nanos());
    fleet.add(worker);
    final WorkerSession session = new WorkerSession(parts, worker, ledger, term.number(), this);
    sessions.put(entry.id(), session);
    session.look();
  }

  /** A worker that an earlier holder used is kept until its runs are known or have expired. */
  private void forgetWhenEmpty(final WorkerState worker) {
    if (!worker.isListed() && worker.runs().isEmpty() && !gate.isPending(worker.id())) {
      forget(worker.id());
    }
  }

  private void forget(final String id) {
    final WorkerSession session = sessions.remove(id);
    if (session != null) {
      session.close();
    }
    fleet.remove(id);
    roster.remove(id);
    gate.resolved(id);
  }

  private void tick() {
    try {
      final long now = parts.time().nanos();
      jobs.beginDue(parts.time().wallMillis(), now);
      gate.expire(now);
      registry.tick(now);
      List.copyOf(sessions.values()).forEach(session -> session.tick(now));
      for (final WorkerState worker : List.copyOf(fleet.workers())) {
        forgetWhenEmpty(worker);
      }
      directory.refresh(now);
      if (isSure()) {
        tickMachines(now);
        housekeeping.tick(now, term);
      }
      changed();
    } catch (final RuntimeException error) {
      parts.log().log("control-tick-failed", "reason", error.toString());
    }
  }

  private void tickMachines(final long now) {
    waves.tick(now, term, moves::isMoving);
    moves.tick(now, term, waves.maintained());
    directory.orders().tick(now, term);
  }

  /** A worker that no working machine carries has ended, also when it cannot be asked. */
  private void machinesListed(final long askedAt) {
    final Set<String> carried = directory.machines().carriedWorkers();
    for (final WorkerState worker : List.copyOf(fleet.workers())) {
      if (!worker.isAnswering()
          && worker.silentSince() < askedAt
          && (!worker.runs().isEmpty() || gate.isPending(worker.id()))
          && !carried.contains(worker.id())) {
        parts.log().log("worker-ended", "worker", worker.id(), "runs", worker.runs().size());
        worker.unlisted();
        ledger.lost(worker, parts.time().nanos());
        gate.resolved(worker.id());
        forget(worker.id());
        changed();
      }
    }
  }

  private void pass() {
    passQueued = false;
    if (closed) {
      return;
    }
    try {
      if (isSure()) {
        scheduler.place(parts.time().nanos()).forEach(this::send);
      }
      ledger.takeOrders().forEach(this::send);
      writer.flush();
    } catch (final RuntimeException error) {
      parts.log().log("control-pass-failed", "reason", error.toString());
    }
  }

  private void send(final Order order) {
    final WorkerSession session = sessions.get(order.run().worker().id());
    if (session != null) {
      session.send(order);
    }
  }
}
