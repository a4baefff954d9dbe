package org.lentilsail.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.WaveProgress;
import org.lentilsail.model.record.WaveSpec;

/** Summarizes the progress of a wave. */
final class WaveReport {
  private final WaveSpec spec;

  /** Progress of the run that the record requests, empty before fleet control has started it. */
  private final Optional<WaveProgress> progress;

  /** VMs of the wave's pools. */
  private final Set<String> vms;

  /** VMs that the wave has currently taken out of service. */
  private final Set<String> active;

  WaveReport(final ConfigurationSnapshot snapshot, final String wave) {
    spec =
        Optional.ofNullable(snapshot.records().waves().get(wave))
            .orElseThrow(() -> noSuchWave(wave));
    progress =
        Optional.ofNullable(snapshot.fleet().waves().get(wave))
            .filter(it -> it.run() >= spec.run());
    vms =
        snapshot.fleet().vms().values().stream()
            .filter(vm -> spec.pools().contains(vm.pool()))
            .map(VmEntry::vm)
            .collect(Collectors.toCollection(TreeSet::new));
    active =
        snapshot.fleet().vms().values().stream()
            .filter(vm -> vm.wave().equals(wave))
            .map(VmEntry::vm)
            .collect(Collectors.toCollection(TreeSet::new));
  }

  WaveSpec spec() {
    return spec;
  }

  Set<String> active() {
    return active;
  }

  /** Returns the VMs that the wave has not started yet. */
  Set<String> waiting() {
    final Set<String> waiting = new TreeSet<>(vms);
    waiting.removeAll(active);
    progress.ifPresent(
        it -> {
          waiting.removeAll(it.done());
          waiting.removeAll(it.failed());
        });
    return waiting;
  }

  /**
   * Returns one of {@code not-started}, {@code finished}, {@code paused}, {@code halted} and {@code
   * runs}.
   */
  String state() {
    final String state;
    if (progress.filter(it -> it.finishedMillis() != 0).isPresent()) {
      state = "finished";
    } else if (spec.paused()) {
      state = "paused";
    } else if (progress.isEmpty()) {
      state = "not-started";
    } else {
      state = progress.get().halted() ? "halted" : "runs";
    }
    return state;
  }

  int failures() {
    return progress.map(it -> it.failed().size()).orElse(0);
  }

  ObjectNode json() {
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("wave", spec.name());
    json.put("run", progress.map(WaveProgress::run).orElse(spec.run()));
    json.put("state", state());
    json.put("vms", vms.size());
    json.put("done", progress.map(it -> it.done().size()).orElse(0));
    json.put("waiting", "finished".equals(state()) ? 0 : waiting().size());
    active.forEach(json.putArray("active")::add);
    progress
        .map(it -> new TreeSet<>(it.failed()))
        .orElseGet(TreeSet::new)
        .forEach(json.putArray("failed")::add);
    json.put("startedMillis", progress.map(WaveProgress::startedMillis).orElse(0L));
    json.put("finishedMillis", progress.map(WaveProgress::finishedMillis).orElse(0L));
    return json;
  }

  private static LentilsailException noSuchWave(final String wave) {
    return new LentilsailException(
        ErrorCode.NOT_FOUND, "unknown wave: " + wave, "list the waves to find the right name");
  }
}
