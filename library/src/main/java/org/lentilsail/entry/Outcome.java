package org.lentilsail.entry;

/** Whether a request ran, as reported to its caller. */
public enum Outcome {
  /** A backend server sent a complete response. */
  RAN("ran"),
  /** The request certainly did not run. */
  NOT_RUN("not-run"),
  /** The request may or may not have run. */
  UNKNOWN("unknown");

  /** Name of the response field that contains the outcome. */
  public static final String FIELD = "Lentilsail-Outcome";

  private final String text;

  Outcome(final String text) {
    this.text = text;
  }

  /**
   * Returns the value of the response field.
   *
   * @return the text
   */
  public String text() {
    return text;
  }
}
