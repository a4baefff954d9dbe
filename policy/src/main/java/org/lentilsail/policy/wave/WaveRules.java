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

/**
 * Advances maintenance waves: records which VMs have returned to service or failed, and drains the
 * next VMs.
 */
public final class WaveRules {
  /**
   * Time in ms since the last failure, halt or resumption after which a wave resumes automatically.
   */
  private static final long AUTOMATIC_RESUME_MILLIS = 60_000;

  private static final long MILLIS_PER_SECOND = 1_000;

  private static final long MILLIS_PER_DAY = 86_400_000;

  private final FleetView view;

  /** The fleet document before this round. */
  private final FleetDocument old;

  /** State of the waves whose records exist, in order of name. */
  private final Map<String, WaveState> states = new TreeMap<>();

  /** Number of VMs out of service by rack. */
  private final Map<String, Integer> outOfServiceByRack = new HashMap<>();

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

  /**
   * Records VMs that returned to service or failed, and releases VMs of waves whose records were
   * deleted.
   */
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
    final boolean isDraining = vm.phase() == VmPhase.DRAINING || vm.phase() == VmPhase.STOPPED;
    if (state == null) {
      final VmEntry released = VmChanges.retarget(vm, vm.purpose(), "", "");
      final boolean mustVerify = isDraining && vm.purpose() == DrainPurpose.MAINTENANCE;
      view.vms()
          .put(
              vm.vm(),
              mustVerify ? released.withPhase(VmPhase.VERIFYING, view.nowMillis()) : released);
    } else if (vm.phase() == VmPhase.IN_SERVICE) {
      if (before.purpose() == DrainPurpose.MAINTENANCE) {
        state.done(vm.vm());
      }
    } else if (vm.phase() == VmPhase.LOST || returnOverdue(vm, spec)) {
      state.failed(vm.vm(), view.nowMillis());
      view.vms().put(vm.vm(), VmChanges.retarget(vm, vm.purpose(), "", ""));
    }
  }

  private boolean returnOverdue(final VmEntry vm, final WaveSpec spec) {
    return (vm.phase() == VmPhase.REBOOTING || vm.phase() == VmPhase.VERIFYING)
        && view.nowMillis() - vm.sinceMillis() >= spec.returnLimitSeconds() * MILLIS_PER_SECOND;
  }

  /**
   * Starts, halts, resumes and finishes waves, and starts to drain the next VMs.
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
        advance(spec, state, byPool);
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
            && view.nowMillis() - state.startedMillis() >= spec.repeatDays() * MILLIS_PER_DAY;
    return !spec.paused() && (state == null || state.run() < spec.run() || repeat);
  }

  private void advance(
      final WaveSpec spec,
      final WaveState state,
      final Map<String, Map<String, List<VmEntry>>> byPool) {
    final boolean noRecentChange =
        view.nowMillis() - state.changedMillis() >= AUTOMATIC_RESUME_MILLIS;
    final boolean resumedByOperator = state.countResumes(spec.resumes());
    if (state.halted()
        && (resumedByOperator || spec.resume() == ResumeMode.AUTOMATIC && noRecentChange)) {
      state.resume(view.nowMillis());
    } else if (!state.halted() && state.failures() >= Math.max(1, spec.haltAfterFailures())) {
      state.halt(view.nowMillis());
    }
    if (!state.finished() && !state.halted() && !spec.paused()) {
      final boolean remains = drainNext(spec, state, byPool);
      if (!remains) {
        state.finish(view.nowMillis());
      }
    }
  }

  /** Starts to drain the next VMs; returns false when nothing remains to be done. */
  private boolean drainNext(
      final WaveSpec spec,
      final WaveState state,
      final Map<String, Map<String, List<VmEntry>>> byPool) {
    final TreeMap<String, List<VmEntry>> zones = new TreeMap<>();
    boolean remains = false;
    int outOfService = 0;
    for (final String pool : new HashSet<>(spec.pools())) {
      for (final Map.Entry<String, List<VmEntry>> zone :
          byPool.getOrDefault(pool, Map.of()).entrySet()) {
        for (final VmEntry vm : zone.getValue()) {
          final boolean inThisWave = vm.wave().equals(spec.name());
          final boolean pending = state.pending(vm.vm()) && vm.phase() != VmPhase.LOST;
          outOfService += inThisWave ? 1 : 0;
          remains = remains || inThisWave || pending && !failedEarlier(vm);
          if (pending && vm.phase() == VmPhase.IN_SERVICE && view.hasReportingDaemon(vm)) {
            zones.computeIfAbsent(zone.getKey(), name -> new ArrayList<>()).add(vm);
          }
        }
      }
    }
    if (!zones.isEmpty()) {
      drainFrom(zones, spec, spec.maxParallel() - outOfService);
    }
    return remains;
  }

  /**
   * Returns whether a VM failed to return to service before the wave last started or resumed and is
   * still out of service; the wave does not wait for such a VM.
   */
  private static boolean failedEarlier(final VmEntry vm) {
    return vm.purpose() == DrainPurpose.MAINTENANCE && vm.wave().isEmpty();
  }

  /**
   * Starts to drain VMs of the first zone that has any left. A pool without VMs left in that zone
   * continues with its next zone, so that pools do not wait for each other.
   */
  private void drainFrom(
      final TreeMap<String, List<VmEntry>> zones, final WaveSpec spec, final int maximum) {
    final Set<String> poolsSeen = new HashSet<>();
    int left = maximum;
    for (final List<VmEntry> zone : zones.values()) {
      final List<VmEntry> candidates =
          new ArrayList<>(zone.stream().filter(vm -> !poolsSeen.contains(vm.pool())).toList());
      zone.forEach(vm -> poolsSeen.add(vm.pool()));
      while (left > 0 && !candidates.isEmpty()) {
        final VmEntry next =
            candidates.stream()
                .min(Comparator.comparing(vm -> outOfServiceByRack.getOrDefault(vm.rack(), 0)))
                .orElseThrow();
        candidates.remove(next);
        if (view.tryDrain(next.vm(), DrainPurpose.MAINTENANCE, "", spec.name())) {
          outOfServiceByRack.merge(next.rack(), 1, Integer::sum);
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
        outOfServiceByRack.merge(vm.rack(), 1, Integer::sum);
      }
    }
    return result;
  }
}
