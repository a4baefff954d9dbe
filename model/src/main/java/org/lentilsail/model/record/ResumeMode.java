package org.lentilsail.model.record;

/** Tells what makes a halted wave go on. */
public enum ResumeMode {
  /** An operator resumes the wave. */
  OPERATOR,
  /** The wave goes on once failures have stayed away for a time. */
  AUTOMATIC
}
