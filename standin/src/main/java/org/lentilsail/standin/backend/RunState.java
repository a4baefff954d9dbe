package org.lentilsail.standin.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Tells how far a run has come. */
public enum RunState {
  /** The run has started. */
  @JsonProperty("running")
  RUNNING,
  /** The run has reached its end. */
  @JsonProperty("finished")
  FINISHED,
  /** A reboot has cut the run. */
  @JsonProperty("cut")
  CUT
}
