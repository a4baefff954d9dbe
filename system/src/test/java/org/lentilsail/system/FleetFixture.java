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

/**
 * Small deployment under background load, with a final check of the responses to callers and of the
 * runs on backend servers.
 */
final class FleetFixture implements AutoCloseable {
  static final Duration WAIT_LIMIT = Duration.ofSeconds(50);
  private static final int REQUESTS_PER_SECOND = 100;

  final LocalFleet fleet;
  final BackgroundLoad load;

  FleetFixture() throws Exception {
    fleet = LocalFleet.start(DeploymentPlan.smallFairway());
    load = new BackgroundLoad(fleet, SampleRecords.SERVICES, REQUESTS_PER_SECOND);
    try {
      SampleRecords.apply(fleet);
      // New VMs are verified first, all at the same time and outside the availability budgets.
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

  /** Returns the daemon that is the leader of fleet control, if any. */
  Optional<String> leader() {
    for (final EntryPlan entry : fleet.plan().entries()) {
      try {
        if (admin(entry.id(), "GET", "/v1/state", "").path("control").path("holding").asBoolean()) {
          return Optional.of(entry.id());
        }
      } catch (final IOException | RuntimeException unavailable) {
        // The leadership of a daemon that does not respond is not observable.
      }
    }
    return Optional.empty();
  }

  String awaitLeader() throws InterruptedException {
    final String[] leader = new String[1];
    Await.until(
        "a leader of fleet control",
        Duration.ofSeconds(30),
        () -> {
          leader[0] = leader().orElse(null);
          return leader[0] != null;
        });
    return leader[0];
  }

  void startWave(final String spec) throws IOException {
    final JsonNode response =
        admin(
            "e1",
            "PUT",
            "/v1/records/wave/monthly?expectedRevision=0",
            "{\"kind\":\"wave\",\"schemaVersion\":2,\"name\":\"monthly\",\"spec\":" + spec + "}");
    assertThat(response.toString(), response.path("outcome").asText(), is("accepted"));
  }

  JsonNode wave() throws IOException {
    for (final String daemon : List.of("e1", "e2", "e3", "e4")) {
      try {
        return admin(daemon, "GET", "/v1/waves/monthly", "");
      } catch (final RuntimeException unavailable) {
        // The daemon is killed or frozen; the next one is asked.
      }
    }
    throw new IOException("no daemon responds");
  }

  void awaitWave(final String state, final Duration limit) throws Exception {
    Await.until("wave " + state, limit, () -> wave().path("state").asText().equals(state));
  }

  void awaitDoneVms(final int vms) throws Exception {
    Await.until(vms + " VMs done", WAIT_LIMIT, () -> wave().path("done").asInt() >= vms);
  }

  /** Stops the load and checks that all responses were correct and no run was interrupted. */
  void check() throws Exception {
    final LoadSummary summary = load.stop();
    System.out.println(summary.text());
    assertThat(summary.text(), summary.wrong(), is(0));
    assertThat(summary.text(), summary.unknown(), is(0));
    assertThat(summary.text(), summary.ran(), greaterThan(0));
    assertThat("runs interrupted by reboots", interruptedRuns(), is(0L));
  }

  @Override
  public void close() throws IOException {
    fleet.close();
  }
}
