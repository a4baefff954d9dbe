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
 * Takes control when no other daemon holds it, and then runs rounds: read the platform's list,
 * decide, write the document, carry out the actions. One call chain is under way at a time. All
 * methods but {@link #receive}, {@link #trigger} and {@link #state} run on the executor's one
 * thread.
 */
public final class ControlLoop implements StateSource, AutoCloseable {
  /** Time in ms between two rounds, and between two attempts to take control. */
  private static final long ROUND_MILLIS = 1_000;

  /** Least time in ms between two rounds, so that bursts of changes do not flood the platform. */
  private static final long LEAST_MILLIS = 250;

  /** Time in ms between two looks at the clock. */
  private static final long TICK_MILLIS = 50;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The platform. */
  private final PlatformClient platform;

  /** Format of the fleet document. */
  private final FleetFormat format;

  /** The lease while it is surely held; it must end 1 s before the platform can end it. */
  private final Supplier<Optional<String>> lease;

  /** The operators' records. */
  private final ConfigurationView configuration;

  /** Weights of the metrics. */
  private final PolicyWeights weights;

  /** Clock of the rounds. */
  private final TimeSource time;

  /** The control thread. */
  private final ScheduledExecutorService executor;

  /** Takes control. */
  private final ControlElection claim;

  /** Carries out the actions. */
  private final ActionExecutor carrier;

  /** The daemons' last reports. */
  private final ReportTable reports;

  /** The present term, null while this daemon does not hold control. */
  private volatile ControlTerm term;

  /** Whether a call chain is under way. */
  private boolean busy;

  /** Whether something has changed since the last round. */
  private volatile boolean triggered = true;

  /** Monotonic time at which the last call chain began. */
  private long begunNanos;

  /** Whether a call chain has begun yet. */
  private boolean begun;

  /** Time in microseconds that the last decision took. */
  private volatile long decisionMicros;

  /** The ticks, null before the start. */
  private ScheduledFuture<?> ticks;

  /**
   * Creates the loop.
   *
   * @param network the other daemons; its handler of reports is registered here
   * @param region region that is controlled
   * @param platform the platform
   * @param format format of the fleet document
   * @param lease the lease while it is surely held, as of {@code LeaseManager}
   * @param configuration the operators' records
   * @param weights weights of the metrics
   * @param probe sends probes to VMs that verify
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
    this.claim = new ControlElection(platform, format, network.self(), region);
    this.carrier = new ActionExecutor(platform, probe, executor);
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

  /** Begins to take control and to run rounds. */
  public void start() {
    ticks = executor.scheduleWithFixedDelay(this::safeTick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes in a daemon's report.
   *
   * @param report the report
   */
  public void receive(final DaemonReport report) {
    reports.put(report);
    trigger();
  }

  /** Asks for a round at once. */
  public void trigger() {
    triggered = true;
  }

  /**
   * Tells whether this daemon surely holds control.
   *
   * @return whether it does
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

  /** Begins a round or an attempt to take control when one is due. */
  void tick() {
    if (term != null && !holdsControl()) {
      stepDown("the lease is no longer surely held");
    }
    final long since = (time.nanos() - begunNanos) / NANOS_PER_MILLI;
    final boolean soon = triggered && term != null && since >= LEAST_MILLIS;
    final Optional<String> held = lease.get();
    if (!busy && held.isPresent() && (!begun || soon || since >= ROUND_MILLIS)) {
      busy = true;
      begun = true;
      begunNanos = time.nanos();
      if (term == null) {
        finish(claim.attempt(held.get()).thenAcceptAsync(this::taken, executor));
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

  private void taken(final Optional<ControlTerm> taken) {
    term = taken.orElse(null);
    if (term != null) {
      Logger.info("control: this daemon holds control, epoch {}", term.document().epoch());
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
                  carrier.answeredProbes(before.document()),
                  time.wallMillis(),
                  weights),
              before.memory());
      decisionMicros = (time.nanos() - began) / 1_000;
      if (decision.document().equals(before.document())) {
        carrier.execute(decision.actions(), before.document(), this::holdsControl);
      } else {
        result = write(before, decision);
      }
    }
    return result;
  }

  private CompletableFuture<Void> write(final ControlTerm before, final RoundResult decision) {
    final JsonNode json = format.write(decision.document());
    return platform
        .compareAndSet(claim.fleetKey(), before.revision(), json, Optional.empty())
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
      Logger.info("control: a write was answered after the loss of control");
    } else if (failure != null || !write.written()) {
      result = platform.get(claim.fleetKey()).thenAcceptAsync(this::resolve, executor);
    } else {
      term = before.afterWrite(decision.document(), write.revision());
      carrier.execute(decision.actions(), decision.document(), this::holdsControl);
    }
    return result;
  }

  /**
   * Finds out after a lost reply or a conflict what the platform has. A value of the own epoch is
   * an own write; any other value means that another daemon has taken control.
   */
  private void resolve(final Optional<VersionedValue> stored) {
    final ControlTerm before = term;
    if (before != null) {
      final FleetDocument present =
          stored.map(value -> format.read(value.value())).orElse(FleetDocument.empty());
      if (present.epoch() == before.document().epoch()
          && present.holder().equals(before.document().holder())) {
        term = before.afterRecovery(present, stored.orElseThrow().revision());
        trigger();
      } else {
        stepDown("daemon " + present.holder() + " has taken control");
      }
    }
  }

  private void stepDown(final String reason) {
    term = null;
    Logger.info("control: this daemon no longer holds control: {}", reason);
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
    final ObjectNode heard = result.putObject("reportAgeMillis");
    reports.all().forEach(report -> heard.put(report.report().daemon(), report.ageMillis()));
    return result;
  }

  /** Ends the rounds; the lease, whose end frees control, is the lease keeper's to end. */
  @Override
  public void close() {
    if (ticks != null) {
      ticks.cancel(false);
    }
    term = null;
  }
}
