package org.lentilsail.policy.wave;

import java.util.HashSet;
import java.util.Set;
import org.lentilsail.model.fleet.WaveProgress;
import org.lentilsail.model.record.WaveSpec;

/** Progress of one wave while a round changes it. */
final class WaveState {
  /** Name of the wave. */
  private final String wave;

  /** Number of the run. */
  private final int run;

  /** Wall clock time of the start in ms since the Unix epoch. */
  private final long startedMillis;

  /** VMs that are back in service. */
  private final Set<String> done;

  /** VMs that did not come back since the wave last resumed. */
  private final Set<String> failed;

  /** Whether failures have halted the wave. */
  private boolean halted;

  /** Wall clock time of the last failure, halt or resumption. */
  private long changedMillis;

  /** Wall clock time of the end, 0 while the wave runs. */
  private long finishedMillis;

  /** Resumptions by operators that have taken effect. */
  private int resumes;

  /**
   * Continues a wave.
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
   * Starts a run of a wave.
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
   * Notes a VM that is back in service.
   *
   * @param vm name of the VM
   */
  void done(final String vm) {
    done.add(vm);
  }

  /**
   * Notes a VM that did not come back.
   *
   * @param vm name of the VM
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void failed(final String vm, final long nowMillis) {
    failed.add(vm);
    changedMillis = nowMillis;
  }

  /**
   * Tells whether a VM is still to be maintained.
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
   * Takes over the record's number of resumptions, whether or not the wave is halted, so that a
   * resumption of a wave that runs does not undo a later halt.
   *
   * @param count number of the record
   * @return whether an operator has resumed the wave since the last round
   */
  boolean countResumes(final int count) {
    final boolean higher = count > resumes;
    resumes = count;
    return higher;
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
   * Tells whether the wave is halted.
   *
   * @return whether failures have halted it
   */
  boolean halted() {
    return halted;
  }

  /**
   * Tells whether the run has ended.
   *
   * @return whether it has
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
