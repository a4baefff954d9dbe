package org.lentilsail.measure.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Collects figures over seeds and prints their spread. */
final class Samples {
  /** Figures by name, in order of first use. */
  private final Map<String, List<Double>> figures = new LinkedHashMap<>();

  void add(final String name, final double value) {
    figures.computeIfAbsent(name, key -> new ArrayList<>()).add(value);
  }

  void addAll(final Samples other) {
    other.figures.forEach((name, values) -> values.forEach(value -> add(name, value)));
  }

  void print(final String title) {
    System.out.printf(Locale.ROOT, "%s%n%-44s %12s %12s %12s%n", title, "", "min", "median", "max");
    figures.forEach(
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
