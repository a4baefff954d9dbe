package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finished jobs are removed more slowly than ordinary traffic brings new ones. First measures both
 * rates, then starts the daemons on the state that these rates leave after some hours.
 */
final class BacklogCase {
  /** Jobs a second of the four short kinds of request on the sheet of tee-nordeste, in whole. */
  private static final int JOBS_PER_SECOND = 14;

  private static final int MEASURE_S = 25;

  /** Time in s for which the state of a finished job has to be known, and the product's reserve. */
  private static final int RETENTION_S = 120 + 60;

  /** Time in s after the end of the traffic in which the jobs have to be done. */
  private static final int FINISH_S = 14;

  /** Time in s at which the run ends in any case. */
  private static final double END_S = 110;

  private BacklogCase() {}

  public static void main(final String[] args) throws Exception {
    final Record record = new Record(Path.of(args[0]), true);
    final double hours = Double.parseDouble(args.length > 1 ? args[1] : "2");
    final Site site = new Site(record, 4, 64_000);
    site.daemons.start(3);
    if (!site.daemons.awaitReady(30_000)) {
      record.line("daemons are not ready");
      System.exit(2);
    }
    Http.sleep(1_000);
    final String sample = site.newId();
    record.line("client POST " + sample + ": " + site.submit(0, 0, sample, job()));
    if (!site.await(1, 0, sample, "completed", 15_000).body().contains("completed")) {
      record.line("a plain job does not complete");
      System.exit(2);
    }
    final List<String> old = fill(site, sample, 400);
    restart(site, record);
    final AtomicInteger accepted = new AtomicInteger();
    final int before = present(site, old);
    final double startedAt = record.now();
    traffic(site, MEASURE_S, accepted, new CopyOnWriteArrayList<>());
    final double seconds = record.now() - startedAt;
    final int removed = before - present(site, old);
    final double removedPerSecond = removed / seconds;
    record.line(
        String.format(
            Locale.ROOT,
            "in %.1f s: %d jobs accepted (%.1f/s), %d of %d expired ones removed (%.2f/s)",
            seconds,
            accepted.get(),
            accepted.get() / seconds,
            removed,
            before,
            removedPerSecond));
    final double growth = accepted.get() / seconds - removedPerSecond;
    final int steady = JOBS_PER_SECOND * RETENTION_S;
    final int jobs = Site.trouble() ? (int) (steady + growth * 3600 * hours) : steady;
    record.line(
        Site.trouble()
            ? "after " + hours + " hours of that traffic the store has " + jobs + " finished jobs"
            : "a store from which expired jobs are removed as fast as they come has " + jobs);
    site.daemons.stopAll();
    fill(site, sample, jobs - present(site, site.store.keys("p/")));
    record.line("store: " + site.store.count("in/") + " submissions");
    site.daemons.startAll();
    if (!site.daemons.awaitReady(30_000)) {
      record.line("daemons are not ready");
    }
    final int endsBefore = site.daemons.ownEnds();
    accepted.set(0);
    final List<String> ids = new CopyOnWriteArrayList<>();
    traffic(site, 20, accepted, ids);
    Http.sleep(FINISH_S * 1_000L);
    int completed = 0;
    for (final String id : ids) {
      completed += site.state(0, 0, id).body().contains("completed") ? 1 : 0;
    }
    while (Site.trouble() && record.now() < END_S && site.daemons.endedAtLeast(3) < 2) {
      Http.sleep(200);
    }
    record.line(
        "then in 20 s: "
            + accepted.get()
            + " jobs accepted, "
            + completed
            + " of them completed 14 s after the traffic; ends of processes by themselves: "
            + (site.daemons.ownEnds() - endsBefore)
            + "; processes that ended so 3 times or more: "
            + site.daemons.endedAtLeast(3));
    record.counts();
    System.exit(site.daemons.endedAtLeast(3) >= 2 ? 1 : 0);
  }

  private static int present(final Site site, final List<String> keys) {
    int present = 0;
    for (final String key : keys) {
      present += site.store.get(key) == null ? 0 : 1;
    }
    return present;
  }

  private static void restart(final Site site, final Record record) {
    site.daemons.stopAll();
    site.daemons.startAll();
    if (!site.daemons.awaitReady(30_000)) {
      record.line("daemons are not ready");
      System.exit(2);
    }
    Http.sleep(1_500);
  }

  /** Copies what the daemons have stored of a finished job, as if it had ended before. */
  private static List<String> fill(final Site site, final String sample, final int count) {
    final String submission = text(site, "in/" + sample + "/s");
    final ObjectNode progress = (ObjectNode) Http.read(text(site, "p/" + sample));
    final List<String> keys = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      final String id = site.newId();
      site.store.put(
          "in/" + id + "/s", submission.replace(sample, id).getBytes(StandardCharsets.UTF_8));
      progress.put(
          "finishedMillis", System.currentTimeMillis() - (RETENTION_S + 20L + i / 14) * 1_000L);
      site.store.put("p/" + id, Http.bytes(progress));
      keys.add("p/" + id);
    }
    return keys;
  }

  private static String text(final Site site, final String key) {
    return new String(site.store.get(key), StandardCharsets.UTF_8);
  }

  static void traffic(
      final Site site, final int seconds, final AtomicInteger accepted, final List<String> ids) {
    final double end = site.record.now() + seconds;
    int sent = 0;
    while (site.record.now() < end) {
      final int daemon = sent++;
      final String id = site.newId();
      Http.run(
          () -> {
            for (int attempt = 0; attempt < 4; attempt++) {
              if (site.submit(daemon + attempt, 0, id, job()).status() / 100 == 2) {
                accepted.incrementAndGet();
                ids.add(id);
                return;
              }
              Http.sleep(500);
            }
          });
      Http.sleep(1_000 / JOBS_PER_SECOND);
    }
  }

  private static JsonNode job() {
    return Site.job(
        "reserve a tee slot for four players on Saturday morning, members' rate, two carts",
        Site.step(6, 500, 540),
        Site.step(4, 500, 540).set("After", Http.read("[0]")));
  }
}
