package review3;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** More ends than one answer lists wait for a new leader, which starts the tasks beyond again. */
final class ManyEndsCase {
  private static final int JOBS = 120;
  private static final int TASKS = 10;
  private static final int TASK_MILLIS = 4_000;

  /** Time in s after the first start at which the leader is killed. */
  private static final double KILL_AT_S = 3.7;

  private ManyEndsCase() {}

  public static void main(final String[] args) throws Exception {
    final Record record = new Record(Path.of(args[0]), true);
    final Site site = new Site(record, 4, 64_000);
    site.daemons.start(3);
    if (!site.daemons.awaitReady(30_000)) {
      record.line("daemons are not ready");
      System.exit(2);
    }
    Http.sleep(2_000);
    final List<String> ids = new CopyOnWriteArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      final int daemon = i;
      Http.run(
          () -> {
            final String id = site.newId();
            final var body = Site.job("round", Site.step(TASKS, 50, TASK_MILLIS));
            if (site.submit(daemon, 0, id, body).status() == 200) {
              ids.add(id);
            }
          });
      Http.sleep(5);
    }
    while (record.seen().isEmpty()) {
      Http.sleep(5);
    }
    final double firstStart = record.seen().get(0).at();
    while (record.now() < firstStart + KILL_AT_S) {
      Http.sleep(5);
    }
    record.line("jobs accepted " + ids.size() + ", each with 10 tasks of 0.05 cores and 4 s");
    record.line("starts so far: " + record.counted("starts"));
    if (Site.trouble()) {
      final String term = new String(site.store.get("lead/term"), StandardCharsets.UTF_8);
      final String leader = Http.read(term).path("holder").asText();
      record.line("SIGKILL of " + leader + ", which leads; it starts again after a second");
      site.daemons.kill(leader);
    }
    int completed = 0;
    for (final String id : ids) {
      completed += site.await(1, 0, id, "completed", 15_000).body().contains("completed") ? 1 : 0;
    }
    record.line("jobs accepted " + ids.size() + ", shown as completed " + completed);
    Http.sleep(6_000);
    int again = 0;
    int lapsed = 0;
    int unacknowledged = 0;
    final Map<String, Record.Seen> done = new HashMap<>();
    final Set<String> twice = new HashSet<>();
    for (final Record.Seen seen : record.seen()) {
      lapsed += seen.what().equals("lapsed") ? 1 : 0;
      if (seen.what().equals("done")) {
        done.putIfAbsent(seen.task(), seen);
      } else if (seen.what().equals("started") && done.containsKey(seen.task())) {
        again++;
        if (twice.add(seen.task()) && twice.size() <= 5) {
          record.line(
              "task "
                  + seen.task()
                  + ": run "
                  + done.get(seen.task()).run()
                  + " ended as done at "
                  + done.get(seen.task()).at()
                  + " on "
                  + done.get(seen.task()).worker()
                  + ", run "
                  + seen.run()
                  + " started at "
                  + seen.at()
                  + " on "
                  + seen.worker());
        }
      }
    }
    for (final Worker worker : site.workers) {
      unacknowledged += worker.unacknowledged();
    }
    record.line("starts after a run of the task had ended as done: " + again);
    record.line(
        "runs whose lease lapsed: " + lapsed + "; ends not taken note of: " + unacknowledged);
    record.counts();
    System.exit(again > 0 && lapsed == 0 && unacknowledged == 0 ? 1 : again > 0 ? 2 : 0);
  }
}
