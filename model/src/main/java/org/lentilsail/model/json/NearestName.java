package org.lentilsail.model.json;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the known name that is most similar to a misspelt one. */
public final class NearestName {
  private NearestName() {}

  /**
   * Returns the known name with the smallest edit distance.
   *
   * @param name the misspelt name
   * @param known the known names
   * @return the nearest name, empty when no name is known
   */
  public static Optional<String> of(final String name, final Collection<String> known) {
    return known.stream()
        .min(
            Comparator.comparingInt((String other) -> distance(name, other))
                .thenComparing(Comparator.naturalOrder()));
  }

  private static int distance(final String left, final String right) {
    int[] previous = new int[right.length() + 1];
    for (int j = 0; j <= right.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= left.length(); i++) {
      final int[] row = new int[right.length() + 1];
      row[0] = i;
      for (int j = 1; j <= right.length(); j++) {
        final int change = left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1;
        row[j] = Math.min(previous[j - 1] + change, Math.min(previous[j], row[j - 1]) + 1);
      }
      previous = row;
    }
    return previous[right.length()];
  }
}
