package org.lentilsail.model.json;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Describes one fault in a JSON document.
 *
 * @param field path of the field
 * @param value value that was found, as JSON; empty when the field is missing
 * @param remedy how to correct the field
 */
public record Fault(String field, String value, String remedy) {

  /** Returns the fault as one line: field, value and remedy. */
  public String text() {
    return value.isEmpty()
        ? field + " is missing: " + remedy
        : field + " is " + value + ": " + remedy;
  }

  /** Returns a message that lists all faults of a document, one to a line. */
  public static String message(final String document, final List<Fault> faults) {
    return faults.stream()
        .map(Fault::text)
        .collect(
            Collectors.joining(
                "\n",
                document
                    + " has "
                    + faults.size()
                    + (faults.size() == 1 ? " fault:\n" : " faults:\n"),
                ""));
  }
}
