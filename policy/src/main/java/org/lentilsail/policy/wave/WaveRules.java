package org.lentilsail.policy.wave;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lentilsail.model.fleet.DrainPurpose;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.fleet.WaveProgress;
import org.lentilsail.model.record.ResumeMode;
import org.lentilsail.model.record.WaveSpec;
import org.lentilsail.policy.fleet.FleetView;
import org.lentilsail.policy.fleet.VmChanges;

/** Carries maintenance waves on: what has come back, what has failed, and which VMs go next. */
public final class WaveRules {
  /** Time in ms without failures after which a wave resumes by itself. */
  private static final long AUTOMATIC_RESUME_MILLIS = 60_000;

  /** Milliseconds in a second. */
  private static final long MILLIS = 1_000;

  /** Milliseconds in a day. */
  private static final long DAY_MILLIS = 86_400_000;

  /** The fleet in this round. */
  private final FleetView view;

  /** The fleet document before this round. */
  private final FleetDocument old;

  /** State of the waves whose records exist, in order of name. */
  private final Map<String, WaveState> states = new TreeMap<>();

  /** Racks with the number of their VMs that are out of service. */
  private final Map<String, Integer> racksOut = new HashMap<>();

  /**
   * Creates the rules.
   *
   * @param view the fleet in this round
   * @param old the fleet document before this round
   */
  public WaveRules(final FleetView view, final FleetDocument old) {
    this.view = view;
    this.old = old;
    for (final WaveSpec spec : view.records().waves().values()) {
      final WaveProgress progress = old.waves().get(spec.name());
      if (progress != null) {
        states.put(spec.name(), new WaveState(progress));
      }
    }
  }

  /** Notes VMs that came back or failed, and frees VMs of waves whose records are gone. */
  public void recordResults() {
    for (final VmEntry before : old.vms().values()) {
      final VmEntry now = view.vms().get(before.vm());
      if (!before.wave().isEmpty() && now != null) {
        recordResults(now, before);
      }
    }
  }

  private void recordResults(final VmEntry vm, final VmEntry before) {
    final String wave = before.wave();
    final WaveSpec spec = view.records().waves().get(wave);
    final WaveState state = states.get(wave);
    final boolean drains = vm.phase() == VmPhase.DRAINING || vm.phase() == VmPhase.STOPPED;
    if (state == null) {
      final VmEntry freed = VmChanges.retarget(vm, vm.purpose(), "", "");
      final boolean back = drains && vm.purpose() == DrainPurpose.MAINTENANCE;
      view.vms().put(vm.vm(), back ? freed.withPhase(VmPhase.VERIFYING, view.nowMillis()) : freed);
    } else if (vm.phase() == VmPhase.IN_SERVICE) {
      if (before.purpose() == DrainPurpose.MAINTENANCE) {
        state.done(vm.vm());
      }
    } else if (vm.phase() == VmPhase.LOST || late(vm, spec)) {
      state.failed(vm.vm(), view.nowMillis());
      view.vms().put(vm.vm(), VmChanges.retarget(vm, vm.purpose(), "", ""));
    }
  }

  private boolean late(final VmEntry vm, final WaveSpec spec) {
    return (vm.phase() == VmPhase.REBOOTING || vm.phase() == VmPhase.VERIFYING)
        && view.nowMillis() - vm.sinceMillis() >= spec.returnLimitSeconds() * MILLIS;
  }

  /**
   * Starts, halts, resumes and finishes waves, and takes the next VMs.
   *
   * @return progress of all waves whose records exist
   */
  public Map<String, WaveProgress> apply() {
    final Map<String, WaveProgress> result = new HashMap<>();
    final Map<String, Map<String, List<VmEntry>>> byPool = index();
    for (final WaveSpec spec : new TreeMap<>(view.records().waves()).values()) {
      if (startDue(spec)) {
        states.put(spec.name(), new WaveState(spec, view.nowMillis()));
      }
      final WaveState state = states.get(spec.name());
      if (state != null) {
        carryOn(spec, state, byPool);
        result.put(spec.name(), state.progress());
      }
    }
    return result;
  }

  private boolean startDue(final WaveSpec spec) {
    final WaveState state = states.get(spec.name());
    final boolean repeat =
        state != null
            && state.finished()
            && spec.repeatDays() > 0
            && view.nowMillis() - state.startedMillis() >= spec.repeatDays() * DAY_MILLIS;
    return !spec.paused() && (state == null || state.run() < spec.run() || repeat);
  }

  private void carryOn(
      final WaveSpec spec,
      final WaveState state,
      final Map<String, Map<String, List<VmEntry>>> byPool) {
    final boolean quiet = view.nowMillis() - state.changedMillis() >= AUTOMATIC_RESUME_MILLIS;
    final boolean operator = state.countResumes(spec.resumes());
    if (state.halted() && (operator || spec.resume() == ResumeMode.AUTOMATIC && quiet)) {
      state.resume(view.nowMillis());
    } else if (!state.halted() && state.failures() >= Math.max(1, spec.haltAfterFailures())) {
      state.halt(view.nowMillis());
    }
    if (!state.finished() && !state.halted() && !spec.paused()) {
      final boolean remains = takeNext(spec, state, byPool);
      if (!remains) {
        state.finish(view.nowMillis());
      }
    }
  }

  /** Takes the next VMs; false when nothing remains to be done. */
  private boolean takeNext(
      final WaveSpec spec,
      final WaveState state,
      final Map<String, Map<String, List<VmEntry>>> byPool) {
    final TreeMap<String, List<VmEntry>> zones = new TreeMap<>();
    boolean remains = false;
    int out = 0;
    for (final String pool : new HashSet<>(spec.pools())) {
      for (final Map.Entry<String, List<VmEntry>> zone :
          byPool.getOrDefault(pool, Map.of()).entrySet()) {
        for (final VmEntry vm : zone.getValue()) {
          final boolean ours = vm.wave().equals(spec.name());
          final boolean pending = state.pending(vm.vm()) && vm.phase() != VmPhase.LOST;
          out += ours ? 1 : 0;
          remains = remains || ours || pending && !stuck(vm);
          if (pending && vm.phase() == VmPhase.IN_SERVICE && view.hasReportingDaemon(vm)) {
            zones.computeIfAbsent(zone.getKey(), name -> new ArrayList<>()).add(vm);
          }
        }
      }
    }
    if (!zones.isEmpty()) {
      takeFrom(zones, spec, spec.maxParallel() - out);
    }
    return remains;
  }

  /** A VM that failed an earlier part of the wave and has not come back is not waited for. */
  private static boolean stuck(final VmEntry vm) {
    return vm.purpose() == DrainPurpose.MAINTENANCE && vm.wave().isEmpty();
  }

  /**
   * Takes VMs of the first zone that has any left. A pool that has none left there goes on with its
   * next zone, so that pools do not wait for each other.
   */
  private void takeFrom(
      final TreeMap<String, List<VmEntry>> zones, final WaveSpec spec, final int most) {
    final Set<String> poolsSeen = new HashSet<>();
    int left = most;
    for (final List<VmEntry> zone : zones.values()) {
      final List<VmEntry> open =
          new ArrayList<>(zone.stream().filter(vm -> !poolsSeen.contains(vm.pool())).toList());
      zone.forEach(vm -> poolsSeen.add(vm.pool()));
      while (left > 0 && !open.isEmpty()) {
        final VmEntry next =
            open.stream()
                .min(Comparator.comparing(vm -> racksOut.getOrDefault(vm.rack(), 0)))
                .orElseThrow();
        open.remove(next);
        if (view.tryDrain(next.vm(), DrainPurpose.MAINTENANCE, "", spec.name())) {
          racksOut.merge(next.rack(), 1, Integer::sum);
          left--;
        }
      }
    }
  }

  private Map<String, Map<String, List<VmEntry>>> index() {
    final Map<String, Map<String, List<VmEntry>>> result = new HashMap<>();
    for (final VmEntry vm : view.vms().values()) {
      result
          .computeIfAbsent(vm.pool(), pool -> new TreeMap<>())
          .computeIfAbsent(vm.availabilityZone(), zone -> new ArrayList<>())
          .add(vm);
      if (vm.phase() != VmPhase.IN_SERVICE) {
        racksOut.merge(vm.rack(), 1, Integer::sum);
      }
    }
    return result;
  }
}
