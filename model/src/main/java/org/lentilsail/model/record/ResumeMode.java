package org.lentilsail.model.record;

/** Condition under which a halted wave resumes. */
public enum ResumeMode {
  /** An operator resumes the wave. */
  OPERATOR,
  /** The wave resumes automatically after a period without failures. */
  AUTOMATIC
}
