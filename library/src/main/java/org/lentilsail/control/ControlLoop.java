package org.lentilsail.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lentilsail.admin.StateSource;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.fleet.DaemonReport;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.peer.PeerNetwork;
import org.lentilsail.platform.PlatformClient;
import org.lentilsail.platform.VersionedValue;
import org.lentilsail.platform.VmReport;
import org.lentilsail.platform.WriteResult;
import org.lentilsail.policy.capacity.PolicyWeights;
import org.lentilsail.policy.control.ControlRound;
import org.lentilsail.policy.control.RoundInput;
import org.lentilsail.policy.control.RoundResult;
import org.tinylog.Logger;

/**
 * Becomes the leader when there is none, and then runs control rounds: reads the platform's list of
 * VMs, decides, writes the fleet document and executes the actions. One election attempt or round
 * is in progress at a time. All methods except {@link #receive}, {@link #trigger}, {@link
 * #holdsControl} and {@link #state} run on the executor's single thread.
 */
public final class ControlLoop implements StateSource, AutoCloseable {
  /** Interval in ms of the rounds, and of the attempts to become the leader. */
  private static final long ROUND_MILLIS = 1_000;

  /** Minimum time in ms between two rounds, so that bursts of changes do not flood the platform. */
  private static final long MIN_ROUND_GAP_MILLIS = 250;

  private static final long TICK_MILLIS = 50;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PlatformClient platform;
  private final FleetFormat format;

  /** The lease while it is known to be valid, until 1 s before the platform can expire it. */
  private final Supplier<Optional<String>> lease;

  private final ConfigurationView configuration;
  private final PolicyWeights weights;
  private final TimeSource time;
  private final ScheduledExecutorService executor;
  private final ControlElection election;
  private final ActionExecutor actionExecutor;

  /** The last report of each daemon. */
  private final ReportTable reports;

  /** The current term, null while this daemon is not the leader. */
  private volatile ControlTerm term;

  /** Whether an election attempt or a round is in progress. */
  private boolean busy;

  /** Whether something has changed since the last round. */
  private volatile boolean triggered = true;

  /** Monotonic time at which the last attempt or round began. */
  private long startedNanos;

  /** Whether any attempt or round has begun. */
  private boolean started;

  /** Duration of the last decision in µs. */
  private volatile long decisionMicros;

  /** The periodic tick, null before the start. */
  private ScheduledFuture<?> ticks;

  /**
   * Creates the loop.
   *
   * @param network receives the reports of the other daemons; the handler is registered here
   * @param region region that is controlled
   * @param platform the platform
   * @param format format of the fleet document
   * @param lease the lease while it is known to be valid, from {@code LeaseManager}
   * @param configuration records written by operators
   * @param weights weights of the metrics
   * @param probe sends probes to VMs that are verifying
   * @param time clock of the rounds
   * @param executor the control thread
   */
  public ControlLoop(
      final PeerNetwork network,
      final String region,
      final PlatformClient platform,
      final FleetFormat format,
      final Supplier<Optional<String>> lease,
      final ConfigurationView configuration,
      final PolicyWeights weights,
      final VmProbe probe,
      final TimeSource time,
      final ScheduledExecutorService executor) {
    this.platform = platform;
    this.format = format;
    this.lease = lease;
    this.configuration = configuration;
    this.weights = weights;
    this.time = time;
    this.executor = executor;
    this.election = new ControlElection(platform, format, network.self(), region);
    this.actionExecutor = new ActionExecutor(platform, probe, executor);
    this.reports = new ReportTable(time);
    network.handle(
        ReportMessage.TYPE,
        ReportMessage.class,
        (from, message) -> {
          receive(message.report());
          return null;
        });
    configuration.onChange(snapshot -> trigger());
  }

  /** Starts the election attempts and the rounds. */
  public void start() {
    ticks = executor.scheduleWithFixedDelay(this::safeTick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Processes a daemon's report; callable from every thread.
   *
   * @param report the report
   */
  public void receive(final DaemonReport report) {
    reports.put(report);
    trigger();
  }

  /** Requests a round as soon as possible; callable from every thread. */
  public void trigger() {
    triggered = true;
  }

  /**
   * Returns whether this daemon is the leader and its lease is known to be valid; callable from
   * every thread.
   *
   * @return whether it is the leader
   */
  public boolean holdsControl() {
    final ControlTerm now = term;
    return now != null && lease.get().filter(now.lease()::equals).isPresent();
  }

  private void safeTick() {
    try {
      tick();
    } catch (final RuntimeException error) {
      busy = false;
      Logger.error(error, "control: a round failed");
    }
  }

  /** Starts a round or an attempt to become the leader when one is due. */
  void tick() {
    if (term != null && !holdsControl()) {
      stepDown("the lease is no longer known to be valid");
    }
    final long since = (time.nanos() - startedNanos) / NANOS_PER_MILLI;
    final boolean soon = triggered && term != null && since >= MIN_ROUND_GAP_MILLIS;
    final Optional<String> held = lease.get();
    if (!busy && held.isPresent() && (!started || soon || since >= ROUND_MILLIS)) {
      busy = true;
      started = true;
      startedNanos = time.nanos();
      if (term == null) {
        finish(election.attempt(held.get()).thenAcceptAsync(this::elected, executor));
      } else {
        triggered = false;
        finish(platform.vms().thenComposeAsync(this::round, executor));
      }
    }
  }

  private void finish(final CompletableFuture<Void> chain) {
    chain.whenCompleteAsync(
        (done, failure) -> {
          busy = false;
          if (failure != null) {
            Logger.warn("control: a round was not completed: {}", failure.getMessage());
          }
        },
        executor);
  }

  private void elected(final Optional<ControlTerm> elected) {
    term = elected.orElse(null);
    if (term != null) {
      Logger.info("control: this daemon is the leader, epoch {}", term.document().epoch());
    }
  }

  private CompletableFuture<Void> round(final List<VmReport> list) {
    CompletableFuture<Void> result = CompletableFuture.completedFuture(null);
    if (holdsControl()) {
      final ControlTerm before = term;
      final long began = time.nanos();
      final RoundResult decision =
          ControlRound.run(
              new RoundInput(
                  configuration.current().records(),
                  before.document(),
                  before.revision(),
                  Optional.of(VmObservations.workers(list)),
                  reports.all(),
                  actionExecutor.answeredProbes(before.document()),
                  time.wallMillis(),
                  weights),
              before.controllerState());
      decisionMicros = (time.nanos() - began) / 1_000;
      if (decision.document().equals(before.document())) {
        actionExecutor.execute(decision.actions(), before.document(), this::holdsControl);
      } else {
        result = write(before, decision);
      }
    }
    return result;
  }

  private CompletableFuture<Void> write(final ControlTerm before, final RoundResult decision) {
    final JsonNode json = format.write(decision.document());
    return platform
        .compareAndSet(election.fleetKey(), before.revision(), json, Optional.empty())
        .handleAsync((write, failure) -> written(before, decision, write, failure), executor)
        .thenCompose(done -> done);
  }

  private CompletableFuture<Void> written(
      final ControlTerm before,
      final RoundResult decision,
      final WriteResult write,
      final Throwable failure) {
    CompletableFuture<Void> result = CompletableFuture.completedFuture(null);
    if (!holdsControl() || term != before) {
      Logger.info("control: ignored the result of a write after the loss of leadership");
    } else if (failure != null || !write.written()) {
      result = platform.get(election.fleetKey()).thenAcceptAsync(this::resolve, executor);
    } else {
      term = before.afterWrite(decision.document(), write.revision());
      actionExecutor.execute(decision.actions(), decision.document(), this::holdsControl);
    }
    return result;
  }

  /**
   * Determines the stored document after a lost reply or a conflict. A document with this daemon's
   * epoch was written by this daemon; any other means that another daemon has become the leader.
   */
  private void resolve(final Optional<VersionedValue> value) {
    final ControlTerm before = term;
    if (before != null) {
      final FleetDocument stored =
          value.map(found -> format.read(found.value())).orElse(FleetDocument.empty());
      if (stored.epoch() == before.document().epoch()
          && stored.holder().equals(before.document().holder())) {
        term = before.afterRecovery(stored, value.orElseThrow().revision());
        trigger();
      } else {
        stepDown("daemon " + stored.holder() + " is the leader");
      }
    }
  }

  private void stepDown(final String reason) {
    term = null;
    Logger.info("control: this daemon is no longer the leader: {}", reason);
  }

  @Override
  public String stateName() {
    return "control";
  }

  @Override
  public JsonNode state() {
    final ObjectNode result = JsonNodeFactory.instance.objectNode();
    final ControlTerm now = term;
    result.put("holding", holdsControl());
    result.put("decisionMicros", decisionMicros);
    if (now != null) {
      result.put("epoch", now.document().epoch());
      result.put("fleetRevision", now.revision());
    }
    final ObjectNode ages = result.putObject("reportAgeMillis");
    reports.all().forEach(report -> ages.put(report.report().daemon(), report.ageMillis()));
    return result;
  }

  /** Stops the rounds. The lease manager revokes the lease, which lets another daemon take over. */
  @Override
  public void close() {
    if (ticks != null) {
      ticks.cancel(false);
    }
    term = null;
  }
}
