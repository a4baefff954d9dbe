package org.lentilsail.policy.scenario;

import java.util.Arrays;
import java.util.List;

/** One line of a scenario with its file and line number for error messages. */
record ScenarioLine(String file, int number, String text) {
  AssertionError error(final String message) {
    return new AssertionError(file + ":" + number + ": " + message + " in: " + text);
  }

  List<String> words() {
    return Arrays.asList(text.split("\\s+"));
  }

  String word(final int index) {
    if (index >= words().size()) {
      throw error("word " + (index + 1) + " is missing");
    }
    return words().get(index);
  }

  /** Returns the word after a keyword, or the default when the keyword is missing. */
  String after(final String keyword, final String missing) {
    final int at = words().indexOf(keyword);
    return at < 0 ? missing : word(at + 1);
  }

  int number(final String word) {
    try {
      return Integer.parseInt(word);
    } catch (final NumberFormatException e) {
      throw error("'" + word + "' is not a number");
    }
  }

  long millis(final String word) {
    if (!word.endsWith("s")) {
      throw error("'" + word + "' is not a time such as 7s");
    }
    return number(word.substring(0, word.length() - 1)) * 1_000L;
  }
}
