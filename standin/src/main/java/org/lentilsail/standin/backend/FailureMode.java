package org.lentilsail.standin.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Lists the faults that a backend server shows on request. */
public enum FailureMode {
  /** Works. */
  @JsonProperty("none")
  NONE,
  /** Runs the request and answers 500. */
  @JsonProperty("fail-all")
  FAIL_ALL,
  /** Closes the connection without running the request. */
  @JsonProperty("close-before")
  CLOSE_BEFORE,
  /** Runs the request and closes the connection within the response body. */
  @JsonProperty("close-in-middle")
  CLOSE_IN_MIDDLE,
  /** Runs the request and answers later than asked. */
  @JsonProperty("late")
  LATE,
  /** Starts the request and closes the connection after the delay without a response. */
  @JsonProperty("hang")
  HANG
}
