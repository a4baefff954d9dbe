package org.lentilsail.measure.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Collects metric values over seeds and prints minimum, median and maximum. */
final class Samples {
  /** Values by metric name, in order of first use. */
  private final Map<String, List<Double>> valuesByName = new LinkedHashMap<>();

  void add(final String name, final double value) {
    valuesByName.computeIfAbsent(name, key -> new ArrayList<>()).add(value);
  }

  void addAll(final Samples other) {
    other.valuesByName.forEach((name, values) -> values.forEach(value -> add(name, value)));
  }

  void print(final String title) {
    System.out.printf(Locale.ROOT, "%s%n%-44s %12s %12s %12s%n", title, "", "min", "median", "max");
    valuesByName.forEach(
        (name, values) -> {
          final List<Double> sorted = values.stream().sorted().toList();
          System.out.printf(
              Locale.ROOT,
              "%-44s %12.3f %12.3f %12.3f%n",
              name,
              sorted.get(0),
              sorted.get(sorted.size() / 2),
              sorted.get(sorted.size() - 1));
        });
  }
}
