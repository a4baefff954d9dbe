package org.lentilsail.model.record;

import java.util.List;

/**
 * Describes a maintenance wave.
 *
 * @param name name of the wave
 * @param pools pools whose VMs are maintained
 * @param maxParallel most VMs that the wave has out of service at once
 * @param run number of the run; a higher number starts the wave again
 * @param haltAfterFailures failures that halt the wave
 * @param resume what makes a halted wave go on
 * @param paused whether an operator has paused the wave
 * @param drainLimitSeconds time in s after which running work is checkpointed
 * @param returnLimitSeconds time in s within which a rebooted VM must be back in service
 * @param repeatDays days after which the next run starts by itself, 0 for never
 * @param resumes number of times that an operator has resumed the wave; a higher number than the
 *     progress has makes a halted wave go on
 */
public record WaveSpec(
    String name,
    List<String> pools,
    int maxParallel,
    int run,
    int haltAfterFailures,
    ResumeMode resume,
    boolean paused,
    int drainLimitSeconds,
    int returnLimitSeconds,
    int repeatDays,
    int resumes) {

  /** Copies the list, so that the spec cannot change. */
  public WaveSpec {
    pools = List.copyOf(pools);
  }
}
