package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The stored progress of a scheduled job grows with each occurrence. Once it is above the largest
 * value of the store, the progress of no job is stored any more.
 */
final class ScheduleCase {
  private static final int STEPS = 24;
  private static final int INTERVAL_MILLIS = 100;

  /** Time in s in which a plain job of 0.2 s has to be shown as completed: finish_s. */
  private static final int FINISH_S = 14;

  private ScheduleCase() {}

  public static void main(final String[] args) throws Exception {
    final Record record = new Record(Path.of(args[0]), true);
    final Site site = new Site(record, 4, 64_000);
    site.daemons.start(3);
    if (!site.daemons.awaitReady(30_000)) {
      record.line("daemons are not ready");
      System.exit(2);
    }
    Http.sleep(1_000);
    final int runs = Site.trouble() ? 5_000 : 100;
    final String timed = site.newId();
    final ObjectNode body = Site.job("collect the sheets of all clubs", steps());
    body.put("MaxRuns", runs)
        .put("FirstRunMs", System.currentTimeMillis() + 500)
        .put("IntervalMs", INTERVAL_MILLIS);
    record.line(
        "client POST " + timed + " with MaxRuns " + runs + ": " + site.submit(0, 1, timed, body));
    final double until = record.now() + Math.min(82, runs * INTERVAL_MILLIS / 1000.0 + 10);
    while (record.now() < until && site.store.refusedValues() == 0) {
      Http.sleep(5_000);
      record.line(
          "store: progress of the scheduled job has "
              + site.store.largest("p/" + timed)
              + " bytes, starts "
              + record.counted("starts"));
      if (site.state(0, 1, timed).body().contains("completed")) {
        break;
      }
    }
    record.line("client GET " + timed + ": " + site.state(0, 1, timed));
    record.line(
        "store: writes refused for a value above ValueBytes: " + site.store.refusedValues());
    if (Site.trouble() && site.store.refusedValues() == 0) {
      record.line("the progress has not reached ValueBytes in time");
      System.exit(2);
    }
    final List<String> plain = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      final String id = site.newId();
      plain.add(id);
      record.line(
          "client POST "
              + id
              + ": "
              + site.submit(i, 0, id, Site.job("hold a slot", Site.step(2, 500, 200))));
    }
    Http.sleep(FINISH_S * 1_000L);
    int open = 0;
    for (final String id : plain) {
      final Http.Response state = site.state(0, 0, id);
      final long done =
          record.seen().stream()
              .filter(seen -> seen.task().startsWith(id) && seen.what().equals("done"))
              .count();
      record.line("client GET " + id + ": " + state + ", ends as done at workers: " + done);
      open += state.body().contains("completed") ? 0 : 1;
    }
    record.line("plain jobs not shown as completed after " + FINISH_S + " s: " + open);
    int listed = 0;
    int unacknowledged = 0;
    for (final Worker worker : site.workers) {
      if (worker.service().equals("booking")) {
        unacknowledged += worker.unacknowledged();
      }
    }
    listed = plain.size() * 2;
    record.line(
        "ends of plain jobs that workers list: "
            + listed
            + ", not taken note of: "
            + unacknowledged);
    record.line(
        "store: writes refused for a value above ValueBytes: " + site.store.refusedValues());
    record.counts();
    System.exit(unacknowledged * 5 > listed ? 1 : 0);
  }

  private static JsonNode[] steps() {
    final JsonNode[] steps = new JsonNode[STEPS];
    for (int i = 0; i < STEPS; i++) {
      steps[i] = Site.step(1, 100, 10);
    }
    return steps;
  }
}
