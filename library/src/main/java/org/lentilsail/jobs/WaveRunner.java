package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.lentilsail.model.job.WaveRequest;
import org.lentilsail.policy.job.Evacuation;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.Wave;
import org.lentilsail.policy.job.WavePlanner;
import org.lentilsail.store.StoredItem;
import org.lentilsail.worker.MachineCommandResult;

/**
 * Carries out maintenance waves: keeps which machines are done, gives the orders and writes the
 * status that operators read. Owned by the control thread.
 */
final class WaveRunner {
  /** Time in ns after which a refused order is repeated. */
  private static final long RETRY_NANOS = 400_000_000L;

  /** Time in ns after which an order that was not answered is repeated. */
  private static final long UNKNOWN_NANOS = 1_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlContext parts;
  private final Runnable changed;
  private final Consumer<String> workerEnded;
  private final MachineDirectory directory;
  private final LeaderItems items;
  private final WavePlanner planner;
  private final Map<Long, Wave> waves = new LinkedHashMap<>();
  private final Map<Long, List<String>> kept = new HashMap<>();
  private final Map<Long, String> statusWritten = new HashMap<>();
  private boolean writing;
  private boolean closed;

  WaveRunner(
      final ControlContext parts,
      final Fleet fleet,
      final JobRegistry jobs,
      final RunTracker ledger,
      final MachineDirectory directory,
      final LeaderItems items,
      final Runnable changed,
      final Consumer<String> workerEnded) {
    this.parts = parts;
    this.workerEnded = workerEnded;
    this.directory = directory;
    this.items = items;
    this.changed = changed;
    this.planner =
        new WavePlanner(fleet, directory.machines(), new Evacuation(ledger, fleet, jobs));
  }

  /** Takes over which machines earlier holders have maintained. */
  void restore(final List<StoredItem> items) {
    for (final StoredItem item : items) {
      final long number = Long.parseLong(item.key().substring(StoreKeys.WAVES.length()));
      Documents.<WaveDocument>read(Documents.WAVE, item)
          .ifPresent(document -> kept.put(number, document.machines()));
    }
    waves.values().forEach(this::takeOver);
  }

  private void takeOver(final Wave wave) {
    final long earliestBack =
        parts.time().nanos() + parts.bounds().maintenanceMillis() * NANOS_PER_MILLI;
    for (final String machine : kept.getOrDefault(wave.request().number(), List.of())) {
      wave.markStarted(machine, "", earliestBack);
    }
  }

  void requestWave(final WaveRequest request) {
    if (waves.containsKey(request.number())) {
      return;
    }
    final Wave wave = new Wave(request, parts.time().nanos());
    takeOver(wave);
    waves.put(request.number(), wave);
    parts.log().log(
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

  /** Returns the machines that are being emptied or maintained for a wave. */
  Set<String> machinesInMaintenance() {
    return planner.evacuatingMachines();
  }

  void tick(final long now, final Term term, final Predicate<String> isMoving) {
    if (waves.values().stream().allMatch(this::isClosed)) {
      return;
    }
    writeStatus();
    for (final Wave wave : waves.values()) {
      if (!wave.isComplete()) {
        planner
            .plan(wave, now, isMoving, directory.commands().blocked())
            .forEach(upkeep -> order(upkeep, term));
      }
    }
  }

  private boolean isClosed(final Wave wave) {
    return "completed".equals(statusWritten.get(wave.request().number()));
  }

  private void order(final WavePlanner.Maintenance upkeep, final Term term) {
    final String machine = upkeep.machine().id();
    if (directory.commands().begin(upkeep.machine())) {
      upkeep.wave().markRequested(machine, upkeep.machine().worker());
      directory.commands().send(machine, () -> send(upkeep, term), () -> cancel(upkeep));
    }
  }

  private void cancel(final WavePlanner.Maintenance upkeep) {
    final String machine = upkeep.machine().id();
    directory.commands().end(machine, true);
    final long again = parts.time().nanos() + RETRY_NANOS;
    upkeep.wave().retry(machine, upkeep.machine().worker(), false, again);
  }

  private void send(final WavePlanner.Maintenance upkeep, final Term term) {
    final String machine = upkeep.machine().id();
    if (closed) {
      return;
    }
    parts
        .machines()
        .maintain(machine, upkeep.wave().request().number(), term.number())
        .whenCompleteAsync(
            logged(
                (answer, failure) -> {
                  directory.commands().end(machine, true);
                  if (!closed) {
                    ordered(upkeep, answer);
                  }
                }),
            parts.executor());
  }

  private void ordered(final WavePlanner.Maintenance upkeep, final MachineCommandResult answer) {
    final long now = parts.time().nanos();
    final Wave wave = upkeep.wave();
    final String machine = upkeep.machine().id();
    final String worker = upkeep.machine().worker();
    parts.metrics().recordMachineCommand("maintain", answer.name());
    parts.log().log(
        "machine-maintain",
        "machine",
        machine,
        "wave",
        wave.request().number(),
        "worker",
        worker,
        "answer",
        answer);
    switch (answer) {
      case DONE -> {
        wave.markStarted(
            machine, worker, now + parts.bounds().maintenanceMillis() * NANOS_PER_MILLI);
        workerEnded.accept(worker);
      }
      case NOT_IN_WAVE, INVALID -> {
        wave.skip(machine);
        planner.release(worker);
      }
      case UNKNOWN -> wave.retry(machine, worker, true, now + UNKNOWN_NANOS);
      default -> wave.retry(machine, worker, false, now + RETRY_NANOS);
    }
    changed.run();
  }

  /** Keeps what is done and writes the status, one wave at a time. */
  private void writeStatus() {
    for (final Wave wave : waves.values()) {
      final String wanted =
          wave.isComplete() ? "completed" : "running " + wave.startedMachines().size();
      if (!writing && !wanted.equals(statusWritten.get(wave.request().number()))) {
        writeStatus(wave, wanted);
      }
    }
  }

  private void writeStatus(final Wave wave, final String wanted) {
    final long number = wave.request().number();
    writing = true;
    parts
        .store()
        .commit(
            items
                .write(
                    items.newTransaction(),
                    StoreKeys.wave(number),
                    Documents.write(new WaveDocument(List.copyOf(wave.startedMachines()))))
                .write(
                    parts.documents().waveStatusKey(number),
                    parts.documents().waveStatus(wave.isComplete()),
                    0))
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  writing = false;
                  if (failure == null
                      && items.handleResult(result, List.of(StoreKeys.wave(number)))
                          == LeaderItems.WriteOutcome.APPLIED) {
                    statusWritten.put(number, wanted);
                    parts.log().log("wave-status", "wave", number, "status", wanted);
                  }
                }),
            parts.executor());
  }
}
