package review3;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;

/** A job whose submission got no answer is cancelled, and the late write of it starts it anyway. */
final class CancelCase {
  /** The store executes the unanswered write so many ms later; the pages allow 1 to 6 s. */
  private static final long LATE_MILLIS = 5_500;

  private static final double CANCEL_S = 3.0;

  private CancelCase() {}

  public static void main(final String[] args) throws Exception {
    final Record record = new Record(Path.of(args[0]), false);
    final Site site = new Site(record, 2, 64_000);
    site.daemons.start(3);
    if (!site.daemons.awaitReady(30_000)) {
      record.line("daemons are not ready");
      System.exit(2);
    }
    final String first = site.newId();
    record.line("client POST " + first + ": " + site.submit(0, 0, first, job()));
    if (!site.await(1, 0, first, "completed", 15_000).body().contains("completed")) {
      record.line("a plain job does not complete");
      System.exit(2);
    }
    Http.sleep(1_000);
    final String id = site.newId();
    if (Site.trouble()) {
      site.store.loss(transaction -> writes(transaction, "in/" + id + "/s", record));
    }
    record.line("client POST " + id + " through " + site.daemons.front(0));
    record.line("client POST " + id + ": " + site.submit(0, 0, id, job()));
    record.line("store: all writes are answered again");
    site.store.loss(transaction -> -1);
    Http.Response cancelled = new Http.Response(0, "");
    for (int attempt = 0; attempt < 20 && !isAcknowledged(cancelled); attempt++) {
      cancelled = site.cancel(1, 0, id);
      record.line("client DELETE " + id + ": " + cancelled);
      if (!isAcknowledged(cancelled)) {
        Http.sleep(250);
      }
    }
    if (!isAcknowledged(cancelled)) {
      record.line("the cancelling was not acknowledged");
      System.exit(2);
    }
    final double acknowledgedAt = record.now();
    record.line("the cancelling is acknowledged");
    Http.sleep(12_000);
    record.line("client GET " + id + ": " + site.state(2, 0, id));
    int late = 0;
    for (final Record.Seen seen : record.seen()) {
      if (seen.task().startsWith(id)
          && seen.what().equals("started")
          && seen.at() > acknowledgedAt + CANCEL_S) {
        late++;
      }
    }
    record.line("starts later than 3 s after the cancelling was acknowledged: " + late);
    System.exit(late > 0 ? 1 : 0);
  }

  private static boolean isAcknowledged(final Http.Response response) {
    return response.status() / 100 == 2 || response.status() == 410;
  }

  private static JsonNode job() {
    return Site.job("a charge of a player", Site.step(2, 500, 900));
  }

  private static long writes(final JsonNode transaction, final String key, final Record record) {
    for (final JsonNode write : transaction.path("Writes")) {
      if (write.path("Key").asText().equals(key)) {
        record.line("store: the write of " + key + " gets no answer and is done 5.5 s later");
        return LATE_MILLIS;
      }
    }
    return -1;
  }
}
