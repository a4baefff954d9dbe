package org.lentilsail.system;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lentilsail.http.HttpField;
import org.lentilsail.http.HttpResponse;
import org.lentilsail.standin.process.Await;

/** End-to-end demonstration: a small deployment serves requests during a maintenance wave. */
final class QuickstartCommand implements SystemCommand {
  /** Background requests per second during the wave. */
  private static final int REQUESTS_PER_SECOND = 200;

  /** Time limit for the wave. */
  private static final Duration WAVE_LIMIT = Duration.ofSeconds(50);

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

  /** Format of an idempotency key. */
  private static final Pattern UUID_FORMAT =
      Pattern.compile("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}");

  private static final String WAVE = "monthly";

  @Override
  public String name() {
    return "quickstart";
  }

  @Override
  public int run(final String[] args) throws Exception {
    final boolean succeeded;
    final long start = System.nanoTime();
    try (LocalFleet fleet = LocalFleet.start(DeploymentPlan.smallFairway())) {
      log(start, "7 entry daemons, 12 backend servers and the platform stand-in run");
      SampleRecords.apply(fleet);
      log(start, "pools, services and budgets are in force on every daemon");
      succeeded = serveRequest(fleet, start) & runWave(fleet, start) & stopAll(fleet, start);
    }
    log(start, succeeded ? "everything was right" : "something was wrong, see above");
    return succeeded ? 0 : 1;
  }

  private boolean serveRequest(final LocalFleet fleet, final long start)
      throws InterruptedException {
    final int port = fleet.addresses().callerPorts().get("e1");
    final HttpResponse response =
        fleet
            .httpClient()
            .send(
                port,
                "POST",
                "/booking/tee-times",
                List.of(new HttpField("Idempotency-Key", key(fleet, port))),
                "four players at 08:10",
                REQUEST_TIMEOUT);
    final String outcome = response.field("Lentilsail-Outcome").orElse("none");
    log(start, "a booking through e1: status " + response.status() + ", outcome " + outcome);
    return response.status() == 200 && outcome.equals("ran");
  }

  /** Requests a key until the daemon owns a key range, which happens soon after its start. */
  private static String key(final LocalFleet fleet, final int port) throws InterruptedException {
    final AtomicReference<String> key = new AtomicReference<>();
    Await.until(
        "an idempotency key from the daemon on port " + port,
        Duration.ofSeconds(20),
        () -> {
          final HttpResponse response =
              fleet
                  .httpClient()
                  .send(port, "POST", "/lentilsail/keys?count=1", List.of(), "", REQUEST_TIMEOUT);
          final Matcher matcher =
              UUID_FORMAT.matcher(new String(response.body(), StandardCharsets.UTF_8));
          final boolean found = matcher.find();
          if (found) {
            key.set(matcher.group());
          }
          return found;
        });
    return key.get();
  }

  private boolean runWave(final LocalFleet fleet, final long start) throws Exception {
    final BackgroundLoad load =
        new BackgroundLoad(fleet, SampleRecords.SERVICES, REQUESTS_PER_SECOND);
    load.start();
    final CliResult applied =
        fleet.cli("apply", SampleRecords.copyToFleet(fleet, "wave.json").toString());
    log(start, "wave applied: exit code " + applied.exitCode());
    boolean result = applied.exitCode() == 0;
    try {
      Await.until("the end of the wave", WAVE_LIMIT, () -> isFinished(fleet));
      log(start, "wave finished: all 12 VMs were rebooted one after the other in each pool");
    } catch (final IllegalStateException timedOut) {
      log(start, timedOut.getMessage());
      result = false;
    }
    final CliResult status = fleet.cli("status", WAVE);
    System.out.print(status.output());
    final LoadSummary summary = load.stop();
    log(start, summary.text());
    return result && summary.wrong() == 0 && status.exitCode() == 0;
  }

  private static boolean isFinished(final LocalFleet fleet) throws Exception {
    final JsonNode wave =
        fleet
            .httpClient()
            .json(fleet.addresses().adminPorts().get("e1"), "GET", "/v1/waves/" + WAVE, "");
    return wave.toString().matches("(?s).*\"finishedMillis\":[1-9].*");
  }

  private boolean stopAll(final LocalFleet fleet, final long start) throws InterruptedException {
    boolean result = true;
    fleet.plan().entries().forEach(entry -> fleet.entry(entry.id()).terminate());
    for (final EntryPlan entry : fleet.plan().entries()) {
      final int exitCode = fleet.entry(entry.id()).stop();
      result = result && exitCode == 0;
    }
    log(start, "entry daemons stopped " + (result ? "gracefully" : "with errors"));
    return result;
  }

  private static void log(final long start, final String text) {
    final double seconds = Duration.ofNanos(System.nanoTime() - start).toMillis() / 1_000.0;
    System.out.printf(Locale.ROOT, "%6.1f s  %s%n", seconds, text);
  }
}
