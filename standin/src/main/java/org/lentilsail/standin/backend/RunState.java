package org.lentilsail.standin.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Lists the states of a run. */
public enum RunState {
  /** The run has started. */
  @JsonProperty("running")
  RUNNING,
  /** The run has finished. */
  @JsonProperty("finished")
  FINISHED,
  /** A reboot has interrupted the run. */
  @JsonProperty("cut")
  CUT
}
