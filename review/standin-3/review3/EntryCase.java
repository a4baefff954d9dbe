package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Another writer leaves one entry among those of the workers. It names a service that no
 * configuration has, and its address is one of IPv6.
 */
final class EntryCase {
  /** Time in s after the end of the traffic in which the jobs have to be done. */
  private static final int FINISH_S = 14;

  private EntryCase() {}

  public static void main(final String[] args) throws Exception {
    final Record record = new Record(Path.of(args[0]), false);
    final Site site = new Site(record, 4, 64_000);
    if (Site.trouble()) {
      writeEntry(site, record);
    }
    site.daemons.start(3);
    if (!site.daemons.awaitReady(30_000)) {
      record.line("daemons are not ready");
      System.exit(2);
    }
    Http.sleep(1_000);
    record.line("8 workers of 64 cores each are registered and idle");
    final int open = play(site, record, "jobs");
    record.line("jobs accepted and not completed " + FINISH_S + " s later: " + open + " of 10");
    if (open > 0) {
      site.store.remove("servers/a-0");
      record.line("another writer: servers/a-0 is removed again");
      Http.sleep(5_000);
      final int stillOpen = play(site, record, "jobs after that");
      record.line("of the jobs after that not completed: " + stillOpen + " of 10");
    }
    record.counts();
    site.daemons.logLines("task-failed").stream().limit(6).forEach(record::line);
    System.exit(open > 0 ? 1 : 0);
  }

  private static void writeEntry(final Site site, final Record record) {
    final ObjectNode entry =
        Http.object()
            .put("Service", "other")
            .put("Address", "::1:8080")
            .put("Zone", "recife")
            .put("Version", "v1")
            .put("Slots", 8)
            .put("State", "ready")
            .put("ColdLeftMs", 0);
    entry.putObject("Capacity").put("Cpu", 64_000).put("MemMb", 256_000).put("Gpu", 0);
    entry.putArray("Labels").add("a").add("r1-1");
    entry.put("ClockMs", 1_000).put("Sequence", 1).put("born", System.currentTimeMillis());
    site.store.put("servers/a-0", Http.bytes(entry));
    record.line("another writer: servers/a-0 is " + entry);
  }

  /** Submits ten jobs and returns how many are not shown as completed at the end. */
  private static int play(final Site site, final Record record, final String what) {
    final List<String> ids = new ArrayList<>();
    int accepted = 0;
    for (int i = 0; i < 10; i++) {
      final String id = site.newId();
      ids.add(id);
      final int status =
          site.submit(i, i % 2, id, Site.job("hold a slot", Site.step(2, 500, 200))).status();
      record.line(what + ": client POST " + id + ": " + status);
      accepted += status == 200 ? 1 : 0;
    }
    Http.sleep(FINISH_S * 1_000L);
    int open = 0;
    for (int i = 0; i < 10; i++) {
      final Http.Response state = site.state(0, i % 2, ids.get(i));
      record.line(what + ": client GET " + ids.get(i) + ": " + state);
      open += state.body().contains("completed") ? 0 : 1;
    }
    return accepted == 10 ? open : 0;
  }
}
