package org.lentilsail.standin.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Lists the kinds of faults that can be injected into a backend server. */
public enum FailureMode {
  /** No fault. */
  @JsonProperty("none")
  NONE,
  /** Runs the request and responds with status 500. */
  @JsonProperty("fail-all")
  FAIL_ALL,
  /** Closes the connection without running the request. */
  @JsonProperty("close-before")
  CLOSE_BEFORE,
  /** Runs the request and closes the connection within the response body. */
  @JsonProperty("close-in-middle")
  CLOSE_IN_MIDDLE,
  /** Runs the request and responds after an additional delay. */
  @JsonProperty("late")
  LATE,
  /** Starts the request and closes the connection after the delay without a response. */
  @JsonProperty("hang")
  HANG
}
