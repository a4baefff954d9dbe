package review3;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A worker loses power for a moment; a start that its new life accepts is forgotten. */
final class RebornCase {
  /** Time in ms for which the worker does not answer. */
  private static final long DARK_MILLIS = 400;

  /** Time in ms from the start of the new life until it has written its entry. */
  private static final long REGISTER_MILLIS = 250;

  /** Time in ms without commands; the connections of earlier ones are not used again after it. */
  private static final long IDLE_MILLIS = 24_000;

  private static final int TASK_MILLIS = 3_000;

  private RebornCase() {}

  public static void main(final String[] args) throws Exception {
    final Record record = new Record(Path.of(args[0]), false);
    final Site site = new Site(record, 4, 64_000);
    site.daemons.start(3);
    if (!site.daemons.awaitReady(30_000)) {
      record.line("daemons are not ready");
      System.exit(2);
    }
    Http.sleep(1_000);
    final String first = site.newId();
    record.line("client POST " + first + ": " + site.submit(0, 0, first, job(500)));
    if (!site.await(1, 0, first, "completed", 15_000).body().contains("completed")) {
      record.line("a plain job does not complete");
      System.exit(2);
    }
    final String host = record.seen().get(0).worker();
    Http.sleep(IDLE_MILLIS);
    for (final Worker worker : site.workers) {
      if (Site.trouble() && worker.id().equals(host)) {
        record.line("worker " + host + " loses power for " + DARK_MILLIS + " ms");
        worker.restart(DARK_MILLIS, REGISTER_MILLIS);
        record.line("worker " + host + " has started again under its id");
      }
    }
    final String id = site.newId();
    record.line("client POST " + id + ": " + site.submit(0, 0, id, job(TASK_MILLIS)));
    record.line("client GET " + id + ": " + site.await(1, 0, id, "completed", 15_000));
    Http.sleep(4_000);
    final Map<String, Set<String>> active = new HashMap<>();
    final Set<String> twice = new HashSet<>();
    for (final Record.Seen seen : record.seen()) {
      final Set<String> runs = active.computeIfAbsent(seen.task(), key -> new HashSet<>());
      final String run = "run " + seen.run() + " on " + seen.worker();
      if (!seen.what().equals("started")) {
        runs.remove(run);
      } else {
        if (!runs.isEmpty()) {
          twice.add(seen.task());
          record.line("task " + seen.task() + ": " + run + " has started beside " + runs);
        }
        runs.add(run);
      }
    }
    record.line("tasks with two runs at the same time: " + twice.size());
    System.exit(twice.isEmpty() ? 0 : 1);
  }

  private static JsonNode job(final int millis) {
    return Site.job("bill an owner", Site.step(2, 500, millis));
  }
}
