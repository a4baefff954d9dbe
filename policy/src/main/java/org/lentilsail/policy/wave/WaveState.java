package org.lentilsail.policy.wave;

import java.util.HashSet;
import java.util.Set;
import org.lentilsail.model.fleet.WaveProgress;
import org.lentilsail.model.record.WaveSpec;

/** Mutable progress of one wave during a control round. */
final class WaveState {
  private final String wave;

  private final int run;

  /** Wall clock time of the start in ms since the Unix epoch. */
  private final long startedMillis;

  /** VMs that returned to service after maintenance. */
  private final Set<String> done;

  /** VMs that have failed to return to service since the wave last resumed. */
  private final Set<String> failed;

  /** Whether failures have halted the wave. */
  private boolean halted;

  /** Wall clock time of the last failure, halt or resumption. */
  private long changedMillis;

  /** Wall clock time of the end, 0 while the wave runs. */
  private long finishedMillis;

  /** Number of resumptions by operators that have taken effect. */
  private int resumes;

  /**
   * Creates the state of a wave that has started.
   *
   * @param progress progress so far
   */
  WaveState(final WaveProgress progress) {
    wave = progress.wave();
    run = progress.run();
    startedMillis = progress.startedMillis();
    done = new HashSet<>(progress.done());
    failed = new HashSet<>(progress.failed());
    halted = progress.halted();
    changedMillis = progress.changedMillis();
    finishedMillis = progress.finishedMillis();
    resumes = progress.resumes();
  }

  /**
   * Creates the state of a wave whose run starts now.
   *
   * @param spec the record of the wave
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  WaveState(final WaveSpec spec, final long nowMillis) {
    wave = spec.name();
    run = spec.run();
    startedMillis = nowMillis;
    done = new HashSet<>();
    failed = new HashSet<>();
    changedMillis = nowMillis;
    resumes = spec.resumes();
  }

  /**
   * Returns the progress to be stored.
   *
   * @return the progress
   */
  WaveProgress progress() {
    return new WaveProgress(
        wave, run, startedMillis, done, failed, halted, changedMillis, finishedMillis, resumes);
  }

  /**
   * Records a VM that returned to service.
   *
   * @param vm name of the VM
   */
  void done(final String vm) {
    done.add(vm);
  }

  /**
   * Records a VM that failed to return to service.
   *
   * @param vm name of the VM
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void failed(final String vm, final long nowMillis) {
    failed.add(vm);
    changedMillis = nowMillis;
  }

  /**
   * Returns whether a VM is still to be maintained.
   *
   * @param vm name of the VM
   * @return false when it is done or has failed
   */
  boolean pending(final String vm) {
    return !done.contains(vm) && !failed.contains(vm);
  }

  /**
   * Halts the wave.
   *
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void halt(final long nowMillis) {
    halted = true;
    changedMillis = nowMillis;
  }

  /**
   * Resumes the wave; VMs that failed are tried again once they are in service.
   *
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void resume(final long nowMillis) {
    halted = false;
    failed.clear();
    changedMillis = nowMillis;
  }

  /**
   * Adopts the number of resumptions in the record even if the wave is not halted, so that resuming
   * a running wave does not undo a later halt.
   *
   * @param count number of resumptions in the record
   * @return whether an operator has resumed the wave since the last round
   */
  boolean countResumes(final int count) {
    final boolean increased = count > resumes;
    resumes = count;
    return increased;
  }

  /**
   * Ends the run.
   *
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void finish(final long nowMillis) {
    finishedMillis = nowMillis;
  }

  /**
   * Returns the number of failures since the wave last resumed.
   *
   * @return the number of VMs
   */
  int failures() {
    return failed.size();
  }

  /**
   * Returns whether the wave is halted.
   *
   * @return whether failures have halted it
   */
  boolean halted() {
    return halted;
  }

  /**
   * Returns whether the run has ended.
   *
   * @return false while it is running or halted
   */
  boolean finished() {
    return finishedMillis > 0;
  }

  /**
   * Returns the number of the run.
   *
   * @return the number
   */
  int run() {
    return run;
  }

  /**
   * Returns when the run started.
   *
   * @return ms since the Unix epoch
   */
  long startedMillis() {
    return startedMillis;
  }

  /**
   * Returns the time of the last failure, halt or resumption.
   *
   * @return ms since the Unix epoch
   */
  long changedMillis() {
    return changedMillis;
  }
}
