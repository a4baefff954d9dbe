package org.lentilsail.model.record;

import java.util.List;

/**
 * Describes a maintenance wave.
 *
 * @param name name of the wave
 * @param pools pools whose VMs are maintained
 * @param maxParallel maximum number of VMs that the wave takes out of service at once
 * @param run run number; a higher one starts the wave again
 * @param haltAfterFailures number of failures that halt the wave
 * @param resume condition under which a halted wave resumes
 * @param paused whether an operator has paused the wave
 * @param drainLimitSeconds time in s after which running work is checkpointed
 * @param returnLimitSeconds time in s within which a rebooted VM must be back in service
 * @param repeatDays days after which the next run starts automatically, 0 for never
 * @param resumes number of times that an operator has resumed the wave; a halted wave resumes when
 *     this exceeds the number in its progress
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

  /** Copies the list to make the spec immutable. */
  public WaveSpec {
    pools = List.copyOf(pools);
  }
}
