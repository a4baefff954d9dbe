package review3;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;

/** The operator adds machines to a wave that has begun; it is completed without them. */
final class WaveCase {
  private static final List<String> FIRST = List.of("mb-1", "ms-1");
  private static final List<String> ALL = List.of("mb-1", "ms-1", "mb-2", "ms-2");

  private WaveCase() {}

  public static void main(final String[] args) throws Exception {
    final Record record = new Record(Path.of(args[0]), false);
    final Site site = new Site(record, 4, 64_000);
    site.daemons.start(3);
    if (!site.daemons.awaitReady(30_000)) {
      record.line("daemons are not ready");
      System.exit(2);
    }
    Http.sleep(2_000);
    if (Site.trouble()) {
      request(site, FIRST);
      Http.sleep(1_000);
    }
    request(site, ALL);
    String status = "";
    for (int i = 0; i < 1_200 && !status.contains("completed"); i++) {
      Http.sleep(50);
      final byte[] value = site.store.get("status/wave/1");
      status = value == null ? "" : new String(value);
    }
    record.line("platform: status/wave/1 is " + status);
    if (!status.contains("completed")) {
      record.line("the wave is not completed in 60 s");
      System.exit(2);
    }
    int missing = 0;
    for (final String machine : ALL) {
      if (!site.cloud.begun(1).contains(machine)) {
        missing++;
        record.line("machine " + machine + " of the wave has not begun its upkeep");
      }
    }
    if (missing > 0) {
      Http.sleep(20_000);
      for (final String machine : ALL) {
        record.line(
            "20 s later: upkeep of " + machine + " begun: " + site.cloud.begun(1).contains(machine));
      }
    }
    System.exit(missing > 0 ? 1 : 0);
  }

  private static void request(final Site site, final List<String> machines) {
    final ObjectNode body = Http.object().put("Wave", 1);
    final ArrayNode names = body.putArray("Machines");
    machines.forEach(names::add);
    body.put("DurationS", 30).put("AtMost", 1);
    site.store.put("op/wave/1", Http.bytes(body));
    site.record.line("operator: op/wave/1 is " + body);
  }
}
