package review3;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** One failed run of a gang uses up all attempts of its job, since each member counts. */
final class GangCase {
  private static final int MEMBERS = 4;
  private static final int MAX_ATTEMPTS = 4;

  private GangCase() {}

  public static void main(final String[] args) throws Exception {
    final Record record = new Record(Path.of(args[0]), false);
    final Site site = new Site(record, 4, 64_000);
    final Gangs gangs = new Gangs(site);
    Http.run(gangs);
    site.daemons.start(3);
    if (!site.daemons.awaitReady(30_000)) {
      record.line("daemons are not ready");
      System.exit(2);
    }
    Http.sleep(1_000);
    final String first = site.newId();
    record.line("client POST " + first + ": " + site.submit(0, 0, first, gang()));
    if (!site.await(1, 0, first, "completed", 15_000).body().contains("completed")) {
      record.line("a gang on sound workers does not complete");
      System.exit(2);
    }
    final Set<String> used = new TreeSet<>();
    record.seen().stream()
        .filter(seen -> seen.task().startsWith(first))
        .forEach(seen -> used.add(seen.worker()));
    if (Site.trouble()) {
      final String faulty = used.iterator().next();
      record.line("worker " + faulty + " fails all that it starts from now on, for 6 s");
      for (final Worker worker : site.workers) {
        if (worker.id().equals(faulty)) {
          worker.fails(task -> true);
          Http.later(
              6_000,
              () -> {
                worker.fails(task -> false);
                record.line("worker " + faulty + " is sound again");
              });
        }
      }
    }
    final String id = site.newId();
    record.line("client POST " + id + ": " + site.submit(0, 0, id, gang()));
    String state = "";
    for (int i = 0; i < 300 && !state.contains("failed") && !state.contains("completed"); i++) {
      Http.sleep(50);
      state = site.state(1, 0, id).body();
    }
    record.line("client GET " + id + ": " + state);
    final Set<Integer> failedRuns = new TreeSet<>();
    final Map<String, Integer> failuresOfTask = new HashMap<>();
    for (final Record.Seen seen : record.seen()) {
      if (seen.task().startsWith(id) && seen.what().equals("failed")) {
        failedRuns.add(seen.run());
        failuresOfTask.merge(seen.task(), 1, Integer::sum);
      }
    }
    final int most = failuresOfTask.values().stream().mapToInt(value -> value).max().orElse(0);
    record.line(
        "MaxAttempts "
            + MAX_ATTEMPTS
            + "; runs of the gang that failed: "
            + failedRuns.size()
            + "; most failed runs of one task: "
            + most);
    if (state.contains("failed") && failedRuns.size() < MAX_ATTEMPTS && most < MAX_ATTEMPTS) {
      record.line("the job is shown as failed without cause");
      System.exit(1);
    }
    System.exit(state.contains("completed") ? 0 : 2);
  }

  private static JsonNode gang() {
    return Site.job("pairings of a tournament", Site.step(MEMBERS, 16_000, 700).put("Gang", true));
  }

  /**
   * What members of a gang do together: they work from the time at which all of one run are there.
   * A member on a worker that fails everything ends as failed, the others of its run as broken.
   */
  private static final class Gangs implements Runnable {
    private final Site site;
    private final Map<String, Long> completeSince = new HashMap<>();

    Gangs(final Site site) {
      this.site = site;
    }

    @Override
    public void run() {
      while (true) {
        for (final String job : jobs()) {
          advance(job);
        }
        Http.sleep(2);
      }
    }

    private Set<String> jobs() {
      final Set<String> ids = new TreeSet<>();
      for (final Record.Seen seen : site.record.seen()) {
        ids.add(seen.task().substring(0, 16));
      }
      return ids;
    }

    private void advance(final String job) {
      final List<Worker> hosts = new ArrayList<>();
      int number = 0;
      for (int member = 0; member < MEMBERS; member++) {
        final String task = job + ".0.0." + member;
        for (final Worker worker : site.workers) {
          final int run = worker.runOf(task);
          if (run > 0 && (number == 0 || number == run)) {
            number = run;
            hosts.add(worker);
          }
        }
      }
      if (hosts.size() < MEMBERS) {
        return;
      }
      final String key = job + '/' + number;
      final long since = completeSince.computeIfAbsent(key, unused -> System.nanoTime());
      boolean fails = false;
      for (int member = 0; member < MEMBERS; member++) {
        fails |= hosts.get(member).failsTask(job);
      }
      if (!fails && System.nanoTime() - since < 700_000_000L) {
        return;
      }
      for (int member = 0; member < MEMBERS; member++) {
        final Worker host = hosts.get(member);
        final String how = !fails ? "done" : host.failsTask(job) ? "failed" : "broken";
        host.endMember(job + ".0.0." + member, number, how);
      }
    }
  }
}
