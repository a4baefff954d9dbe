package org.lentilsail.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lentilsail.standin.process.Await;

/** A small deployment under load whose end checks what callers and backends have seen. */
final class FleetFixture implements AutoCloseable {
  static final Duration WAIT_LIMIT = Duration.ofSeconds(50);
  private static final int RATE = 100;

  final LocalFleet fleet;
  final BackgroundLoad load;

  FleetFixture() throws Exception {
    fleet = LocalFleet.start(DeploymentPlan.smallFairway());
    load = new BackgroundLoad(fleet, SampleRecords.SERVICES, RATE);
    try {
      SampleRecords.apply(fleet);
      // VMs that have just joined verify first, all at once; no budget is spent on them.
      fleet.awaitInService(WAIT_LIMIT);
    } catch (final Exception error) {
      fleet.close();
      throw error;
    }
    load.start();
  }

  JsonNode admin(final String daemon, final String method, final String path, final String body)
      throws IOException {
    return fleet.httpClient().json(fleet.addresses().adminPorts().get(daemon), method, path, body);
  }

  JsonNode backend(final String vm, final String method, final String path, final String body)
      throws IOException {
    return fleet
        .httpClient()
        .json(fleet.addresses().backendPorts().get(vm), method, "/standin/" + path, body);
  }

  void platformFault(final String client, final String mode) throws IOException {
    fleet
        .httpClient()
        .json(
            fleet.addresses().platformPort(),
            "POST",
            "/standin/faults",
            "{\"client\":\"" + client + "\",\"mode\":\"" + mode + "\"}");
  }

  long startedRuns(final String vm) throws IOException {
    return backend(vm, "GET", "journal", "").path("started").asLong();
  }

  long interruptedRuns() throws IOException {
    long result = 0;
    for (final VmPlan vm : fleet.plan().vms()) {
      result += backend(vm.vm(), "GET", "journal", "").path("cut").asLong();
    }
    return result;
  }

  /** Returns the daemon that holds control, empty while none does. */
  Optional<String> leader() {
    for (final EntryPlan entry : fleet.plan().entries()) {
      try {
        if (admin(entry.id(), "GET", "/v1/state", "").path("control").path("holding").asBoolean()) {
          return Optional.of(entry.id());
        }
      } catch (final IOException | RuntimeException silent) {
        // A daemon that does not answer holds no control that anyone can see.
      }
    }
    return Optional.empty();
  }

  String awaitLeader() throws InterruptedException {
    final String[] found = new String[1];
    Await.until(
        "a holder of control",
        Duration.ofSeconds(30),
        () -> {
          found[0] = leader().orElse(null);
          return found[0] != null;
        });
    return found[0];
  }

  void startWave(final String spec) throws IOException {
    final JsonNode answer =
        admin(
            "e1",
            "PUT",
            "/v1/records/wave/monthly?expectedRevision=0",
            "{\"kind\":\"wave\",\"schemaVersion\":2,\"name\":\"monthly\",\"spec\":" + spec + "}");
    assertThat(answer.toString(), answer.path("outcome").asText(), is("accepted"));
  }

  JsonNode wave() throws IOException {
    for (final String daemon : List.of("e1", "e2", "e3", "e4")) {
      try {
        return admin(daemon, "GET", "/v1/waves/monthly", "");
      } catch (final RuntimeException silent) {
        // The next daemon answers while this one is ended or frozen.
      }
    }
    throw new IOException("no daemon answers");
  }

  void awaitWave(final String state, final Duration limit) throws Exception {
    Await.until("wave " + state, limit, () -> wave().path("state").asText().equals(state));
  }

  void awaitDoneVms(final int vms) throws Exception {
    Await.until(vms + " VMs done", WAIT_LIMIT, () -> wave().path("done").asInt() >= vms);
  }

  /** Ends the load and checks that no request was answered wrongly and none was cut. */
  void check() throws Exception {
    final LoadSummary summary = load.stop();
    System.out.println(summary.text());
    assertThat(summary.text(), summary.wrong(), is(0));
    assertThat(summary.text(), summary.unknown(), is(0));
    assertThat(summary.text(), summary.ran(), greaterThan(0));
    assertThat("runs cut by reboots", interruptedRuns(), is(0L));
  }

  @Override
  public void close() throws IOException {
    fleet.close();
  }
}
