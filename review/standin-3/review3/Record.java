package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Writes what was sent, answered and run. */
final class Record {
  /** What a worker has seen of a run. */
  record Seen(double at, String worker, String task, int run, String what) {}

  private final long startedAt = System.nanoTime();
  private final PrintWriter out;
  private final boolean quietRuns;
  private final List<Seen> seen = new ArrayList<>();
  private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();

  Record(final Path file, final boolean quietRuns) {
    this.quietRuns = quietRuns;
    try {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (final IOException error) {
      throw new UncheckedIOException(error);
    }
  }

  double now() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void line(final String text) {
    final String line = String.format(Locale.ROOT, "%8.3f  %s", now(), text);
    out.println(line);
    System.out.println(line);
  }

  synchronized void started(
      final String worker, final String task, final int run, final String spec) {
    seen.add(new Seen(now(), worker, task, run, "started"));
    count("starts");
    if (!quietRuns) {
      line("worker " + worker + " started " + task + " run " + run);
    }
  }

  synchronized void ended(final String worker, final String task, final int run, final String how) {
    seen.add(new Seen(now(), worker, task, run, how));
    count("ends as " + how);
    if (!quietRuns) {
      line("worker " + worker + " lists the end of " + task + " run " + run + " as " + how);
    }
  }

  void acknowledged(final String worker, final long number) {
    count("acknowledgements");
    if (!quietRuns) {
      line("worker " + worker + " is told that ends up to " + number + " are known");
    }
  }

  void count(final String what) {
    counts.computeIfAbsent(what, key -> new AtomicInteger()).incrementAndGet();
  }

  int counted(final String what) {
    final AtomicInteger value = counts.get(what);
    return value == null ? 0 : value.get();
  }

  synchronized List<Seen> seen() {
    return List.copyOf(seen);
  }

  void counts() {
    counts.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(entry -> line("count: " + entry.getKey() + ": " + entry.getValue()));
  }
}
