package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.lentilsail.concurrent.Callbacks;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropReason;
import org.lentilsail.policy.job.Evacuation;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.Wave;
import org.lentilsail.policy.job.WavePlanner;
import org.lentilsail.store.StoredItem;
import org.lentilsail.worker.MachineCommandResult;

/**
 * Runs maintenance waves: persists which machines are done, sends the commands and writes the
 * status that operators read. Confined to the control thread.
 */
final class WaveRunner {
  /** Delay in ns before a rejected command is retried. */
  private static final long REJECTED_RETRY_DELAY_NANOS = 400_000_000L;

  /** Delay in ns before an unconfirmed command is retried. */
  private static final long UNCONFIRMED_RETRY_DELAY_NANOS = 1_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlContext context;
  private final Runnable stateChanged;
  private final BiConsumer<String, DropEvidence> workerEnded;
  private final MachineDirectory directory;
  private final LeaderItems items;
  private final WavePlanner planner;
  private final Map<Long, Wave> waves = new LinkedHashMap<>();
  private final Map<Long, List<String>> persistedMachines = new HashMap<>();
  private final Map<Long, String> reportedStatus = new HashMap<>();
  private boolean writeInFlight;
  private boolean closed;

  WaveRunner(
      final ControlContext context,
      final Fleet fleet,
      final JobRegistry jobs,
      final RunTracker runTracker,
      final MachineDirectory directory,
      final LeaderItems items,
      final Runnable stateChanged,
      final BiConsumer<String, DropEvidence> workerEnded) {
    this.context = context;
    this.workerEnded = workerEnded;
    this.directory = directory;
    this.items = items;
    this.stateChanged = stateChanged;
    this.planner =
        new WavePlanner(fleet, directory.machines(), new Evacuation(runTracker, fleet, jobs));
  }

  /** Restores which machines earlier leaders have maintained. */
  void restore(final List<StoredItem> items) {
    Callbacks.forEach("persisted wave", items, this::restore);
    waves.values().forEach(this::markPersistedMachines);
  }

  private void restore(final StoredItem item) {
    final long number = Long.parseLong(item.key().substring(StoreKeys.WAVES.length()));
    Documents.<WaveDocument>read(Documents.WAVE, item)
        .ifPresent(document -> persistedMachines.put(number, document.machines()));
  }

  private void markPersistedMachines(final Wave wave) {
    final long earliestReturn =
        context.time().nanos() + context.bounds().maintenanceMillis() * NANOS_PER_MILLI;
    for (final String machine :
        persistedMachines.getOrDefault(wave.request().number(), List.of())) {
      wave.markStarted(machine, "", earliestReturn);
    }
  }

  void requestWave(final WaveRequest request) {
    if (waves.containsKey(request.number())) {
      return;
    }
    final Wave wave = new Wave(request, context.time().nanos());
    markPersistedMachines(wave);
    waves.put(request.number(), wave);
    context.log().log(
        "wave-requested",
        "wave",
        request.number(),
        "machines",
        request.machines().size(),
        "atMost",
        request.maxUnavailable(),
        "durationMs",
        request.durationMillis());
  }

  void close() {
    closed = true;
  }

  /** Returns the machines that are being evacuated or maintained for a wave. */
  Set<String> machinesInMaintenance() {
    return planner.evacuatingMachines();
  }

  void tick(final long now, final Term term, final Predicate<String> isMoving) {
    if (waves.values().stream().allMatch(this::isReportedCompleted)) {
      return;
    }
    writeStatus();
    for (final Wave wave : waves.values()) {
      if (!wave.isComplete()) {
        planner
            .plan(wave, now, isMoving, directory.commands().blocked())
            .forEach(maintenance -> queueCommand(maintenance, term));
      }
    }
  }

  private boolean isReportedCompleted(final Wave wave) {
    return "completed".equals(reportedStatus.get(wave.request().number()));
  }

  private void queueCommand(final WavePlanner.Maintenance maintenance, final Term term) {
    final String machine = maintenance.machine().id();
    if (directory.commands().begin(maintenance.machine())) {
      maintenance.wave().markRequested(machine, maintenance.machine().worker());
      directory.commands().send(machine, () -> send(maintenance, term), () -> cancel(maintenance));
    }
  }

  private void cancel(final WavePlanner.Maintenance maintenance) {
    final String machine = maintenance.machine().id();
    directory.commands().end(machine, true);
    final long retryAt = context.time().nanos() + REJECTED_RETRY_DELAY_NANOS;
    maintenance.wave().retry(machine, maintenance.machine().worker(), false, retryAt);
  }

  private void send(final WavePlanner.Maintenance maintenance, final Term term) {
    final String machine = maintenance.machine().id();
    if (closed) {
      return;
    }
    final long sentAt = context.time().nanos();
    context
        .machines()
        .maintain(machine, maintenance.wave().request().number(), term.number())
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  if (result == MachineCommandResult.UNKNOWN) {
                    directory.commands().endRepeatable(machine);
                  } else {
                    directory.commands().end(machine, true);
                  }
                  if (!closed) {
                    handleResult(maintenance, result, sentAt);
                  }
                }),
            context.executor());
  }

  private void handleResult(
      final WavePlanner.Maintenance maintenance,
      final MachineCommandResult result,
      final long sentAt) {
    final long now = context.time().nanos();
    final Wave wave = maintenance.wave();
    final String machine = maintenance.machine().id();
    final String worker = maintenance.machine().worker();
    context.metrics().recordMachineCommand("maintain", result.name());
    context.log().log(
        "machine-maintain",
        "machine",
        machine,
        "wave",
        wave.request().number(),
        "worker",
        worker,
        "answer",
        result);
    switch (result) {
      case DONE -> {
        wave.markStarted(
            machine, worker, now + context.bounds().maintenanceMillis() * NANOS_PER_MILLI);
        workerEnded.accept(
            worker,
            new DropEvidence(
                DropReason.MACHINE_COMMAND, "maintenance of " + machine + " confirmed", sentAt));
      }
      case NOT_IN_WAVE, INVALID -> {
        wave.skip(machine);
        planner.release(worker);
      }
      case UNKNOWN -> wave.retry(machine, worker, true, now + UNCONFIRMED_RETRY_DELAY_NANOS);
      default -> wave.retry(machine, worker, false, now + REJECTED_RETRY_DELAY_NANOS);
    }
    stateChanged.run();
  }

  /** Persists the maintained machines and the status, one wave at a time. */
  private void writeStatus() {
    for (final Wave wave : waves.values()) {
      final String status =
          wave.isComplete() ? "completed" : "running " + wave.startedMachines().size();
      if (!writeInFlight && !status.equals(reportedStatus.get(wave.request().number()))) {
        writeStatus(wave, status);
      }
    }
  }

  private void writeStatus(final Wave wave, final String status) {
    final long number = wave.request().number();
    writeInFlight = true;
    items.commit(
        context,
        items
            .write(
                items.newTransaction(),
                StoreKeys.wave(number),
                Documents.write(new WaveDocument(List.copyOf(wave.startedMachines()))))
            .write(
                context.documents().waveStatusKey(number),
                context.documents().waveStatus(wave.isComplete()),
                0),
        List.of(StoreKeys.wave(number)),
        (outcome, reason) -> {
          writeInFlight = false;
          if (outcome == LeaderItems.WriteOutcome.APPLIED) {
            reportedStatus.put(number, status);
            context.log().log("wave-status", "wave", number, "status", status);
          }
        });
  }
}
