package org.lentilsail.entry;

/** Tells a caller what became of a request. */
public enum Outcome {
  /** A backend server gave a complete response. */
  RAN("ran"),
  /** The request certainly did not run. */
  NOT_RUN("not-run"),
  /** The request may or may not have run. */
  UNKNOWN("unknown");

  /** Name of the response field that carries the outcome. */
  public static final String FIELD = "Lentilsail-Outcome";

  /** Text in the response field. */
  private final String text;

  Outcome(final String text) {
    this.text = text;
  }

  /**
   * Returns the outcome as it stands in the response field.
   *
   * @return the text
   */
  public String text() {
    return text;
  }
}
